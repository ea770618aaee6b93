#ifndef POMELOTRAY_CELL_WORKER_BOOK_H_
#define POMELOTRAY_CELL_WORKER_BOOK_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "cell/cell_job.h"
#include "cell/cell_ports.h"

namespace pomelotray {

enum class AttemptPhase {
  // The start is queued or on its way.
  kOrdered,
  // The worker confirmed it.
  kRunning,
  // The start got no answer: it may be carried out until the lease is over.
  kUncertain,
};

// An attempt that may occupy its worker.
struct Attempt {
  AttemptKey key;
  // No value: belongs to no task that is known here.
  std::optional<TaskRef> task;
  Resources reserved;
  // The step has a latency target, or fills unused capacity.
  bool serves = false;
  bool fills = false;
  // What it needs is unknown, so that nothing may start beside it.
  bool unknown_load = false;
  // How long the attempt should run; infinite: until it is stopped.
  absl::Duration estimate;
  AttemptPhase phase = AttemptPhase::kOrdered;
  // When the worker's confirmation of the start arrived.
  absl::Time confirmed_at = absl::InfiniteFuture();
  // The worker has listed it as running.
  bool listed = false;
  bool stop_wanted = false;
  absl::Time stop_sent_at = absl::InfinitePast();
  // When the worker's confirmation of the stop arrived; after it the attempt can no longer begin.
  absl::Time stop_confirmed_at = absl::InfiniteFuture();
  int percent = -1;
  absl::Time progress_at = absl::InfiniteFuture();
  std::string checkpoint;

  // When the attempt should end by its progress or, before it reported any, by its estimate. Not
  // before `now`: an attempt that takes longer may end at any time.
  absl::Time ExpectedEnd(absl::Time now) const;
};

// An end that the worker lists until it is acknowledged.
struct UnacknowledgedEnd {
  EndNumber number;
  // The end is stored once this version of the job is. Empty id: nothing to store.
  JobId job;
  int64_t version = 0;
};

// One worker of the pool with everything that may run on it.
struct CellWorker {
  WorkerDescription description;
  bool listed = false;
  // This life of the worker has accepted the owner's token and reported what it runs.
  bool fenced = false;
  // The worker stands in the stored roster, so that a later owner knows that tasks may run there.
  bool on_roster = false;
  absl::Time born = absl::InfinitePast();
  Resources used;
  std::map<AttemptKey, Attempt> attempts;
  EndNumber seen_end;
  EndNumber acknowledged;
  std::deque<UnacknowledgedEnd> unacknowledged;
  // By the worker's clock at `clock_read_at`.
  WorkerTime clock;
  absl::Time clock_read_at = absl::InfinitePast();
  // When everything that runs there is over unless the lease is extended.
  absl::Time lease_over_at = absl::InfinitePast();
  absl::Time last_report = absl::InfinitePast();
  // A start or a hold got no answer: no new starts until a report that was asked for later.
  absl::Time suspect_since = absl::InfinitePast();
  // Jobs whose attempts failed here without a success in between.
  std::set<JobId> failed_jobs;
  absl::Time quarantined_until = absl::InfinitePast();

  bool HasLabel(const std::string& label) const;
  bool AcceptsStarts(absl::Time now) const;
  bool HasUnknownLoad() const;
  bool HasServing() const;
  bool HasFilling() const;
  Resources Free() const { return description.capacity - used; }
  // When `needed` should be free, as running attempts end; the infinite future: never.
  absl::Time ExpectedFree(const Resources& needed, absl::Time now) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKER_BOOK_H_
