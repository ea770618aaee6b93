#ifndef POMELOTRAY_CELL_MEMBERSHIP_POOL_PART_H_
#define POMELOTRAY_CELL_MEMBERSHIP_POOL_PART_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// Has the form "<pool>.<index>.<count>".
using PartName = StrongId<struct PartNameTag>;

// One part of a pool: a subset of the pool's workers and jobs, scheduled by one owner. A job runs
// only on the workers of its part. Parts share no state, so the scheduling of a pool is distributed
// over as many instances as the pool has parts. The number of parts of a pool never changes.
struct PoolPart {
  PoolName pool;
  int index = 0;
  int count = 1;

  PartName Name() const;
  bool Owns(const WorkerId& worker) const;

  static std::optional<PoolPart> Parse(const PartName& name);
  // Returns the part that schedules `job`.
  static PoolPart OfJob(const PoolName& pool, const JobId& job, int count);
  static std::vector<PoolPart> All(const PoolName& pool, int count);
};

// Returns the same value in every process and version, unlike absl::Hash, whose seed differs
// between processes.
uint64_t StableHash(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_POOL_PART_H_
