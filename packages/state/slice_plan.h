#ifndef POMELOTRAY_STATE_SLICE_PLAN_H_
#define POMELOTRAY_STATE_SLICE_PLAN_H_

#include <map>

#include "state/slice_book.h"

namespace pomelotray {

// What the owner of a shard knows of one customer there.
struct ShardStanding {
  int64_t term = 0;
  SliceVector wanted = {};
  SliceVector in_use = {};
  // The limit that the shard keeps to now.
  SliceVector limit = {};
  // True when `in_use` was reported since the limit was lowered: it can no longer exceed the
  // greater of the two.
  bool in_use_known = false;
};

struct SlicePlan {
  // The book to be written, if it differs from the present one.
  SliceBook next;
  // What each own shard may use at most, also while the present book allows more.
  std::map<ShardId, SliceVector> targets;
};

// Divides `book.cap` between the shards by max-min fairness over what they want.
std::map<ShardId, SliceVector> DivideCap(const SliceBook& book);

// Plans the next version of a book for the shards in `mine`. Only their entries change: they give
// back what exceeds their share and is not in use, and take more only from the free part of the
// cap, so that the sum of all entries never grows beyond the cap.
SlicePlan PlanSlices(const SliceBook& book, Revision contract_revision, const SliceVector& cap,
                     const std::map<ShardId, ShardStanding>& mine);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_PLAN_H_
