#include "state/slice_book.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "model/json_text.h"

namespace pomelotray {
namespace {

bool ReadVector(const nlohmann::json& json, SliceVector* vector) {
  if (!json.is_array() || json.size() != vector->size()) {
    return false;
  }
  for (size_t i = 0; i < vector->size(); ++i) {
    if (!json[i].is_number_integer() || json[i].get<int64_t>() < 0) {
      return false;
    }
    (*vector)[i] = json[i].get<int64_t>();
  }
  return true;
}

bool ReadEntry(const nlohmann::json& json, SliceEntry* entry) {
  if (!json.is_array() || json.size() != 3 || !json[0].is_number_integer()) {
    return false;
  }
  entry->term = json[0].get<int64_t>();
  return ReadVector(json[1], &entry->amount) && ReadVector(json[2], &entry->wanted);
}

bool ReadBook(const nlohmann::json& json, SliceBook* book) {
  if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_integer() ||
      !json.contains("cap") || !ReadVector(json["cap"], &book->cap) || !json.contains("slices") ||
      !json["slices"].is_object()) {
    return false;
  }
  book->contract_revision = Revision(json["revision"].get<int64_t>());
  for (auto it = json["slices"].begin(); it != json["slices"].end(); ++it) {
    const std::optional<ShardId> shard = ShardId::Parse(it.key());
    SliceEntry entry;
    if (!shard.has_value() || !ReadEntry(it.value(), &entry)) {
      return false;
    }
    book->entries[*shard] = entry;
  }
  return true;
}

}  // namespace

bool operator==(const SliceEntry& a, const SliceEntry& b) {
  return std::tie(a.term, a.amount, a.wanted) == std::tie(b.term, b.amount, b.wanted);
}

bool operator==(const SliceBook& a, const SliceBook& b) {
  return std::tie(a.contract_revision, a.cap, a.entries) ==
         std::tie(b.contract_revision, b.cap, b.entries);
}

SliceVector Min(const SliceVector& a, const SliceVector& b) {
  SliceVector result;
  std::transform(a.begin(), a.end(), b.begin(), result.begin(),
                 [](int64_t x, int64_t y) { return std::min(x, y); });
  return result;
}

SliceVector Max(const SliceVector& a, const SliceVector& b) {
  SliceVector result;
  std::transform(a.begin(), a.end(), b.begin(), result.begin(),
                 [](int64_t x, int64_t y) { return std::max(x, y); });
  return result;
}

std::string EncodeSliceBook(const SliceBook& book, const std::string& nonce) {
  nlohmann::json slices = nlohmann::json::object();
  for (const auto& [shard, entry] : book.entries) {
    slices[shard.ToString()] = nlohmann::json::array({entry.term, entry.amount, entry.wanted});
  }
  return DumpJson(nlohmann::json{{"revision", book.contract_revision.value()},
                                 {"cap", book.cap},
                                 {"slices", slices},
                                 {"nonce", nonce}});
}

Result<SliceBook> DecodeSliceBook(const std::string& value) {
  SliceBook book;
  if (!ReadBook(nlohmann::json::parse(value, nullptr, false), &book)) {
    return Fail(ErrorKind::kInternal,
                "A stored slice book is malformed; run the same release on all instances.");
  }
  return book;
}

}  // namespace pomelotray
