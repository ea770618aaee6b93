#include "state/slice_allocation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "base/json_number.h"
#include "base/json_text.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

bool ParseVector(const nlohmann::json& json, SliceVector* vector) {
  if (!json.is_array() || json.size() != vector->size()) {
    return false;
  }
  for (size_t i = 0; i < vector->size(); ++i) {
    if (!IsIntegerBetween(json[i], 0, kMaxAmount)) {
      return false;
    }
    (*vector)[i] = json[i].get<int64_t>();
  }
  return true;
}

bool ParseEntry(const nlohmann::json& json, SliceEntry* entry) {
  if (!json.is_array() || json.size() != 3 || !IsIntegerBetween(json[0], 0, kMaxExactInteger)) {
    return false;
  }
  entry->term = json[0].get<int64_t>();
  return ParseVector(json[1], &entry->allocated) && ParseVector(json[2], &entry->requested);
}

bool ParseAllocation(const nlohmann::json& json, SliceAllocation* allocation) {
  if (!json.is_object() || !json.contains("revision") ||
      !IsIntegerBetween(json["revision"], 0, kMaxExactInteger) || !json.contains("cap") ||
      !ParseVector(json["cap"], &allocation->cap) || !json.contains("slices") ||
      !json["slices"].is_object()) {
    return false;
  }
  allocation->contract_revision = Revision(json["revision"].get<int64_t>());
  for (auto it = json["slices"].begin(); it != json["slices"].end(); ++it) {
    const std::optional<ShardId> shard = ShardId::Parse(it.key());
    SliceEntry entry;
    if (!shard.has_value() || !ParseEntry(it.value(), &entry)) {
      return false;
    }
    allocation->entries[*shard] = entry;
  }
  return true;
}

}  // namespace

bool operator==(const SliceEntry& a, const SliceEntry& b) {
  return std::tie(a.term, a.allocated, a.requested) == std::tie(b.term, b.allocated, b.requested);
}

bool operator==(const SliceAllocation& a, const SliceAllocation& b) {
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

std::string EncodeSliceAllocation(const SliceAllocation& allocation, const std::string& nonce) {
  nlohmann::json slices = nlohmann::json::object();
  for (const auto& [shard, entry] : allocation.entries) {
    slices[shard.ToString()] =
        nlohmann::json::array({entry.term, entry.allocated, entry.requested});
  }
  return DumpJson(nlohmann::json{{"revision", allocation.contract_revision.value()},
                                 {"cap", allocation.cap},
                                 {"slices", slices},
                                 {"nonce", nonce}});
}

Result<SliceAllocation> DecodeSliceAllocation(const std::string& value) {
  BOOST_LEAF_AUTO(json, ParseJson(value, "slice allocation"));
  SliceAllocation allocation;
  if (!ParseAllocation(json, &allocation)) {
    return Fail(ErrorKind::kInternal,
                "A stored slice allocation is malformed; run the same release on all instances.");
  }
  return allocation;
}

}  // namespace pomelotray
