#ifndef POMELOTRAY_STATE_SLICE_ALLOCATION_H_
#define POMELOTRAY_STATE_SLICE_ALLOCATION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/shard_id.h"
#include "base/strong_number.h"

namespace pomelotray {

// The quantities of a contract's cap that are divided between shards.
enum SliceDimension : size_t {
  kSliceCpu,
  kSliceMemory,
  kSliceAccelerators,
  kSliceSlots,
  // Request rate, in thousandths of a request per second.
  kSliceRate,
  kSliceBurst,
  kSliceJobs,
  kSliceDimensionCount,
};
// One amount per dimension, indexed by SliceDimension.
using SliceVector = std::array<int64_t, kSliceDimensionCount>;

// The part of a customer's cap that is allocated to one shard.
struct SliceEntry {
  // Term of the shard owner that wrote this entry last. Only an owner with this or a later term may
  // use or change the entry.
  int64_t term = 0;
  SliceVector allocated = {};
  // The amounts that the shard would use if the cap allowed it.
  SliceVector requested = {};
};

// How a customer's cap is allocated to shards. Stored under the key `slices/<customer>`.
struct SliceAllocation {
  // Revision of the newest contract that changed the cap in this record, and that contract's cap.
  // Writers that know only an older contract use this cap.
  Revision contract_revision;
  SliceVector cap = {};
  std::map<ShardId, SliceEntry> entries;
};

bool operator==(const SliceEntry& a, const SliceEntry& b);
bool operator==(const SliceAllocation& a, const SliceAllocation& b);

// Element-wise minimum and maximum.
SliceVector Min(const SliceVector& a, const SliceVector& b);
SliceVector Max(const SliceVector& a, const SliceVector& b);

// `nonce` makes the value unique, so that a writer can recognize its own write when it reads the
// key back.
std::string EncodeSliceAllocation(const SliceAllocation& allocation, const std::string& nonce);
Result<SliceAllocation> DecodeSliceAllocation(const std::string& value);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_ALLOCATION_H_
