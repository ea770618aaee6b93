#ifndef POMELOTRAY_CELL_WORKERS_CELL_WORKER_H_
#define POMELOTRAY_CELL_WORKERS_CELL_WORKER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "cell/cell_job.h"
#include "cell/cell_ports.h"

namespace pomelotray {

// What the owner knows about the start of an attempt.
enum class AttemptPhase {
  // The start order is queued or in transit.
  kOrdered,
  // The worker confirmed the start.
  kRunning,
  // The start order was not answered. The worker may carry it out until the lease ends.
  kUncertain,
};

// An attempt that may use capacity of its worker.
struct Attempt {
  AttemptKey key;
  // No value if the owner knows no task for the attempt.
  std::optional<TaskRef> task;
  // The customer of the attempt's job; empty if there is none or the job is not known.
  CustomerId customer;
  // Capacity of the worker that is reserved for the attempt.
  Resources reserved;
  // Demand of the attempt's step, which counts against the customer's cap. Unlike `reserved`, it
  // includes the processors of best-effort attempts.
  Resources demand;
  // Image that the attempt runs; empty if it is not known.
  std::string image;
  bool has_latency_target = false;
  // The attempt runs on CPU capacity that other attempts leave unused.
  bool best_effort = false;
  // The demand of the attempt is unknown, so no other attempt may start on the worker.
  bool unknown_demand = false;
  // Estimated run time; infinite if the attempt runs until it is stopped.
  absl::Duration estimate;
  AttemptPhase phase = AttemptPhase::kOrdered;
  // Time of the decision to start the attempt; infinite past if an earlier owner made it.
  absl::Time ordered_at = absl::InfinitePast();
  // Time at which the adviser's ticket for the start was received; infinite past if the start has
  // none.
  absl::Time ticket_received_at = absl::InfinitePast();
  absl::Time ticket_expires = absl::InfiniteFuture();
  // Time at which the start order was sent; infinite past if it was not sent by this owner.
  absl::Time sent_at = absl::InfinitePast();
  // Time at which the order was sent or, if an earlier owner sent it, at which this one learned of
  // the attempt.
  absl::Time known_since = absl::InfiniteFuture();
  // Time at which the worker's confirmation of the start was received.
  absl::Time confirmed_at = absl::InfiniteFuture();
  // The worker has reported the attempt as running.
  bool listed = false;
  // The worker has said, to this owner or an earlier one, that the attempt has begun.
  bool begun = false;
  // The task is suspected of crashing its workers: no other job may start attempts on the worker.
  bool isolated = false;
  // The attempt is to be stopped.
  bool stop_wanted = false;
  absl::Time stop_sent_at = absl::InfinitePast();
  // Time at which the worker's confirmation of the stop was received. From then on the worker
  // refuses to start the attempt.
  absl::Time stop_confirmed_at = absl::InfiniteFuture();
  // Last reported progress in percent, or -1 if none was reported, and the time of its last change.
  // That time restarts after a gap in the reports, in which the worker may have been paused.
  int percent = -1;
  absl::Time progress_at = absl::InfiniteFuture();
  // Latest checkpoint, and when the worker reported it; infinite past if the attempt was started
  // with it.
  std::string checkpoint;
  absl::Time checkpoint_received_at = absl::InfinitePast();

  // Takes the checkpoint of a report; does nothing if it is empty or the known one.
  void ApplyCheckpoint(const std::string& reported, absl::Time received);
  // Whether the ticket would not be valid any more when a start that is sent now arrives.
  bool TicketRanOut(absl::Time now) const;
  // Returns the expected end of the attempt, extrapolated from its progress or, if it has reported
  // none, from its estimate. Never before `now`: an attempt that exceeds its estimate may end at
  // any time.
  absl::Time ExpectedEnd(absl::Time now) const;
  // Whether the attempt runs until it is stopped and has run for longer than a task takes to crash
  // its worker.
  bool IsSettled(absl::Time now) const;
};

// An ended attempt that the worker keeps reporting until the owner acknowledges it.
struct UnacknowledgedEnd {
  EndNumber number;
  AttemptKey key;
  // The end may be acknowledged once this version of the job is stored. If the id is empty, nothing
  // has to be stored first.
  JobId job;
  int64_t version = 0;
};

// The owner's state of one worker of its pool part, with all attempts that may be running on it.
struct CellWorker {
  WorkerDescription description;
  // The worker is in the worker directory.
  bool listed = false;
  // The current incarnation of the worker has accepted the owner's fencing token and has reported
  // its attempts.
  bool fenced = false;
  // The worker is in the stored roster with its present address, so a later owner knows that tasks
  // may be running on it.
  bool on_roster = false;
  // The stored roster may say that the leases on the worker are not extended (see
  // RosterEntry::lease_left), so they must not be.
  bool lease_withheld = false;
  // Start time of the worker incarnation that reported last.
  absl::Time started_at = absl::InfinitePast();
  // Capacity that is reserved for all of `attempts`.
  Resources used;
  std::map<AttemptKey, Attempt> attempts;
  // Highest numbers of ended attempts that the worker reported and that the owner acknowledged.
  EndNumber last_reported_end;
  EndNumber acknowledged;
  std::deque<UnacknowledgedEnd> unacknowledged;
  // Reading of the worker's clock at the owner's time `clock_read_at`.
  WorkerTime clock;
  absl::Time clock_read_at = absl::InfinitePast();
  // Time by which all attempts on the worker will have ended unless the lease is extended.
  absl::Time lease_over_at = absl::InfinitePast();
  absl::Time last_report = absl::InfinitePast();
  // Receipt of the first report after a gap in the reports.
  absl::Time reports_resumed_at = absl::InfinitePast();
  // Expected run time of a task here, compared with a typical worker, as a logarithm; 0 if nothing
  // is known. `slow`: the factor has reached 2. Set by WorkerSpeeds.
  double log_slowdown = 0;
  bool slow = false;
  // Time at which a hold or a start order failed or was refused (other than for its ticket), or
  // another worker answered at the address. No attempt starts on the worker until it answers a
  // report request sent after that.
  absl::Time unanswered_at = absl::InfinitePast();
  // Time of the first call without an answer since the last report.
  absl::Time unreachable_since = absl::InfiniteFuture();
  // The histories of tasks contain attempts on the worker, although its loss is not certain.
  bool losses_expected = false;
  // All attempts that are running on the worker, or have ended there, are known from a report.
  bool fully_reported = false;
  // Jobs whose attempts have failed on the worker since the last attempt that succeeded on it.
  std::set<JobId> failed_jobs;
  absl::Time quarantined_until = absl::InfinitePast();

  bool HasLabel(const std::string& label) const;
  // Whether the description is that of the process that reported last. The next process of a worker
  // may have another capacity and other labels.
  bool IsDescriptionCurrent() const;
  // Whether new attempts may be started on the worker.
  bool AcceptsStarts(absl::Time now) const;
  // Whether the worker has announced that it leaves and still answers, so that its attempts can be
  // stopped.
  bool IsLeaving() const;
  bool HasUnknownDemand() const;
  // Number of starts that are queued for the worker or not answered by it.
  size_t OpenStarts() const;
  bool HasServing() const;
  bool HasBestEffort() const;
  // Whether the worker is reserved for the job of an isolated attempt.
  bool HasIsolated() const;
  // Returns the job that all attempts on the worker belong to, or null if there is no such job.
  const JobId* SoleJob() const;
  Resources Free() const { return description.capacity - used; }
  // Returns the time at which `needed` is expected to be free as running attempts end, or the
  // infinite future if it never will be.
  absl::Time ExpectedFree(const Resources& needed, absl::Time now) const;
  // Whether attempts were started so lately that a crash that they cause could not be told from one
  // that another start causes now.
  bool HasRecentStarts(absl::Time now) const;
  // Returns the work that a crash of the worker would waste: the run times of its attempts,
  // weighted by the share of the worker that they use.
  absl::Duration WorkAtStake(absl::Time now) const;
  // Whether a suspected task may start on the worker: all attempts there, if any, are settled.
  bool IsOpenToSuspects(absl::Time now) const;
  // Returns the time at which this is expected, or the infinite future.
  absl::Time ExpectedOpenToSuspects(absl::Time now) const;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKERS_CELL_WORKER_H_
