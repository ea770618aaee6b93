#ifndef POMELOTRAY_CELL_POOL_PART_H_
#define POMELOTRAY_CELL_POOL_PART_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// "<pool>.<index>.<count>"
using PartName = StrongId<struct PartNameTag>;

// One part of a pool: a share of its workers and of its jobs, with an owner of its own. A job uses
// the workers of its part only, so parts share nothing and the work of a pool is spread over as
// many instances as it has parts. The number of parts of a pool never changes.
struct PoolPart {
  PoolName pool;
  int index = 0;
  int count = 1;

  PartName Name() const;
  bool Owns(const WorkerId& worker) const;

  static std::optional<PoolPart> Parse(const PartName& name);
  // The part that a job belongs to.
  static PoolPart OfJob(const PoolName& pool, const JobId& job, int count);
  static std::vector<PoolPart> All(const PoolName& pool, int count);
};

// The same in every process and version, unlike absl::Hash.
uint64_t StableHash(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_POOL_PART_H_
