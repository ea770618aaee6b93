#include "cell/membership/pool_part.h"

#include <algorithm>
#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace pomelotray {
uint64_t StableHash(const std::string& text) {
  // FNV-1a with a final mixing step, because the low bits of its hashes of short names differ
  // little.
  uint64_t hash = 14695981039346656037U;
  for (const char c : text) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 1099511628211U;
  }
  return hash ^ (hash >> 29) ^ (hash >> 47);
}

PartName PoolPart::Name() const {
  return PartName(absl::StrCat(pool.value(), ".", index, ".", count));
}

bool PoolPart::Owns(const WorkerId& worker) const {
  return static_cast<int>(StableHash(worker.value()) % static_cast<uint64_t>(count)) == index;
}

std::optional<PoolPart> PoolPart::Parse(const PartName& name) {
  const std::vector<std::string> fields = absl::StrSplit(name.value(), '.');
  PoolPart part;
  if (fields.size() < 3 || !absl::SimpleAtoi(fields[fields.size() - 2], &part.index) ||
      !absl::SimpleAtoi(fields.back(), &part.count) || part.count < 1 || part.index < 0 ||
      part.index >= part.count) {
    return std::nullopt;
  }
  const size_t suffix = fields[fields.size() - 2].size() + fields.back().size() + 2;
  part.pool = PoolName(name.value().substr(0, name.value().size() - suffix));
  return part;
}

PoolPart PoolPart::OfJob(const PoolName& pool, const JobId& job, int count) {
  return PoolPart{pool, static_cast<int>(StableHash(job.value()) % static_cast<uint64_t>(count)),
                  count};
}

std::vector<PoolPart> PoolPart::All(const PoolName& pool, int count) {
  std::vector<PoolPart> parts;
  parts.reserve(static_cast<size_t>(count));
  for (int index = 0; index < count; ++index) {
    parts.push_back(PoolPart{pool, index, count});
  }
  return parts;
}

}  // namespace pomelotray
