#ifndef POMELOTRAY_STATE_SLICE_DEMAND_H_
#define POMELOTRAY_STATE_SLICE_DEMAND_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "base/resources.h"
#include "model/contract.h"
#include "state/slice_book.h"

namespace pomelotray {

// What one shard may let one customer hold and do.
struct SliceLimits {
  Resources hold;
  double rate_per_second = 0;
  int64_t burst = 0;
  int64_t max_jobs = 0;
};

// What a customer uses or wants in one shard.
struct SliceDemand {
  Resources hold;
  double rate_per_second = 0;
  int64_t jobs = 0;
};

SliceVector CapOf(const Contract& contract);
SliceLimits ToLimits(const SliceVector& amounts);

// Turns the reports about one customer in one shard into an entry's steady wish: it rises at once,
// in steps, and falls only after the demand has been lower for a while, so that small changes cost
// no store writes.
class DemandTracker {
 public:
  explicit DemandTracker(absl::Time owned_since) : changed_at_(owned_since) {}

  void Report(const SliceDemand& in_use, const SliceDemand& wanted);
  // Says that the limit was lowered, so that earlier reports may be out of date.
  void LimitLowered(absl::Time now);

  SliceVector InUse() const;
  // `recorded` is the wish that the book holds, `shards` the number of the customer's home shards.
  SliceVector Wish(const SliceVector& cap, const SliceVector& recorded, int64_t shards,
                   absl::Time now);
  // True when InUse() was reported since the limit was lowered, or nothing was for a long time.
  bool InUseKnown(absl::Time now) const;

 private:
  SliceVector Demand(const SliceVector& cap) const;

  // When the shard was taken over or the limit was lowered last.
  absl::Time changed_at_;
  bool reported_ = false;
  int64_t reports_since_lowered_ = 0;
  SliceDemand in_use_;
  SliceDemand wanted_;
  // Since when each amount has been wanted less than recorded.
  std::array<absl::Time, kSliceAmounts> lower_since_ = {};
  std::array<bool, kSliceAmounts> lower_ = {};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_DEMAND_H_
