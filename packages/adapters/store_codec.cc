#include "adapters/store_codec.h"

#include <utility>

#include "adapters/wire_json.h"
#include "base/json_number.h"

namespace pomelotray {
namespace {

std::optional<StoreEntry> DecodeEntry(const nlohmann::json& json) {
  const std::optional<std::string> key = wire::ReadString(json, "key");
  std::optional<std::string> value = wire::ReadBytes(json, "value");
  const std::optional<int64_t> revision = wire::ReadInt(json, "revision", 1, kMaxExactInteger);
  if (!key || !value || !revision) {
    return std::nullopt;
  }
  return StoreEntry{*key, std::move(*value), Revision(*revision)};
}

// Values are opaque here, so a malformed entry is a fault of the store's interface and not of a
// writer. It makes the whole answer unusable: an entry that is left out would look deleted, and the
// shards of an instance whose record is missing are claimed.
std::optional<std::vector<StoreEntry>> DecodeEntries(const nlohmann::json& json,
                                                     const char* field) {
  const nlohmann::json* array = wire::FindArray(json, field);
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<StoreEntry> entries;
  for (const nlohmann::json& item : *array) {
    std::optional<StoreEntry> entry = DecodeEntry(item);
    if (!entry) {
      return std::nullopt;
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

}  // namespace

std::optional<std::optional<StoreEntry>> DecodeStoreGet(const nlohmann::json& json) {
  if (!json.is_object() || !json.contains("entry")) {
    return std::nullopt;
  }
  if (json["entry"].is_null()) {
    return std::optional<StoreEntry>();
  }
  std::optional<StoreEntry> entry = DecodeEntry(json["entry"]);
  if (!entry) {
    return std::nullopt;
  }
  return entry;
}

std::optional<std::vector<StoreEntry>> DecodeStoreList(const nlohmann::json& json) {
  return DecodeEntries(json, "entries");
}

std::optional<WatchBatch> DecodeStoreWatch(const nlohmann::json& json) {
  std::optional<std::vector<StoreEntry>> changed = DecodeEntries(json, "changed");
  const nlohmann::json* deleted = wire::FindArray(json, "deleted");
  const std::optional<int64_t> next = wire::ReadInt(json, "next", 0, kMaxExactInteger);
  if (!changed || deleted == nullptr || !next) {
    return std::nullopt;
  }
  WatchBatch batch{std::move(*changed), {}, Revision(*next)};
  for (const nlohmann::json& key : *deleted) {
    if (!key.is_string()) {
      return std::nullopt;
    }
    batch.deleted.push_back(key.get<std::string>());
  }
  return batch;
}

std::optional<Revision> DecodeStoreRevision(const nlohmann::json& json) {
  const std::optional<int64_t> revision = wire::ReadInt(json, "revision", 1, kMaxExactInteger);
  if (!revision) {
    return std::nullopt;
  }
  return Revision(*revision);
}

}  // namespace pomelotray
