#ifndef POMELOTRAY_CELL_PLACEMENT_SCHEDULE_ROUND_H_
#define POMELOTRAY_CELL_PLACEMENT_SCHEDULE_ROUND_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cell/advice/advice_shares.h"
#include "cell/cell_job.h"
#include "cell/placement/round_policies.h"
#include "cell/placement/start_urgency.h"
#include "cell/placement/step_wait.h"
#include "cell/workers/cell_worker.h"

namespace pomelotray {

// A decision to start one task on one worker.
struct PlacedTask {
  TaskRef task;
  WorkerId worker;
  // Without text if the queue of the job has no adviser.
  StepAdvice::Ticket ticket;
  // The job can hardly meet its latency objective any more.
  bool late = false;
  // No other job may start attempts on the worker: the task is suspected of crashing its workers.
  bool isolated = false;
};

// A decision to stop the attempt of a long-running task on a worker that is leaving. The task
// starts again as soon as the attempt is over; until then, capacity is held for it on another
// worker.
struct TaskMove {
  TaskRef task;
  AttemptKey attempt;
  WorkerId from;
  WorkerId to;
};

// A decision to ask the adviser which of the workers in `question` may run a step.
struct AdviceRequest {
  TaskRef step;
  AdviceQuestion question;
  // Questions of steps that yield go after all others, whatever their priority.
  Yielding yielding = Yielding::kNone;
  int priority = 0;
  // Expected duration of the call.
  absl::Duration cost;
};

// The decisions of one scheduling round.
struct RoundResult {
  std::vector<PlacedTask> placed;
  std::vector<AdviceRequest> advice;
  std::vector<TaskMove> moves;
  // Workers whose best-effort attempts have to be stopped because no other worker has capacity for
  // a serving task.
  std::vector<WorkerId> workers_to_clear;
  // A task of each gang of which some members wait while others are active.
  std::vector<TaskRef> incomplete_gangs;
  // Number of pairs of a task and a worker that were examined; measures the cost of the round.
  int64_t workers_examined = 0;
  // Number of tasks that could start when the round began, and of workers that the round reserved.
  int64_t waiting_tasks = 0;
  int64_t reserved_workers = 0;
  // Long-running steps that have tasks left to start; only if requested.
  std::vector<StepWait> waits;
};

// One scheduling round over all waiting tasks of a pool part: decides which tasks start on which
// workers. Does not modify the jobs and workers.
//
// Steps are considered in the order of priority, then latency objective. Within a priority, steps
// that can still meet their objective go first; ordered by objective alone, every job would be late
// during an overload (domino effect). Jobs whose results no longer have any value go last.
//
// Long-running tasks on workers that are leaving are moved while there is capacity for them
// elsewhere: they wait only for a stop then, and not for the end of the worker's lease.
//
// Long-running tasks are out of service while they wait. The rules above give way to those that
// have waited (StartUrgency): their steps go first, and capacity that becomes free is held for
// them.
//
// A step that waits for renewed tickets reserves the capacity it needs, so that later steps do not
// take it. A gang or a large task that does not fit reserves workers that it could use, since small
// tasks would otherwise take all capacity that becomes free (starvation of large jobs).
//
// The owner can send only so many starts a second. While many are not answered yet, late steps get
// only a few starts in each round, so that those of steps that can still meet their objective do
// not queue behind them (head-of-line blocking). The same holds for steps that yield.
//
// Steps of customers that are over their shares yield (see StepOrder): they go after all others.
// Those of jobs beyond their customer's rate also leave the headroom free.
//
// A step with enough slack before its latest start is patient unless it is long-running. Patient
// steps leave headroom in the pool while there are jobs of higher priority: a full pool frees
// capacity only as fast as its long tasks end, and a burst of short urgent tasks would have to wait
// for them (priority inversion).
class ScheduleRound {
 public:
  // `jobs` are the jobs that are not in a final state. The arguments must outlive the round.
  ScheduleRound(const std::map<JobId, const CellJob*>& jobs,
                const std::map<WorkerId, CellWorker>& workers, const AdviceShares& advice_shares,
                absl::Time now, RoundPolicies policies = RoundPolicies());

  // Runs the round once. `inherited_allowed` permits starting tasks of inherited jobs that have no
  // known attempt. `explain_waits` requests RoundResult::waits.
  RoundResult Run(bool inherited_allowed, bool explain_waits = false);

 private:
  // A step run, given by its job and its index in CellJob::runs.
  struct Candidate {
    const CellJob* job = nullptr;
    int run = 0;
    // Since when the step has waited for so long that it goes before all others; infinite if it has
    // not.
    absl::Time urgent_since = absl::InfiniteFuture();
    Yielding yielding = Yielding::kNone;

    // Whether the step yields to others now. Tasks that have waited do not.
    bool Yields() const {
      return yielding != Yielding::kNone && urgent_since == absl::InfiniteFuture();
    }
    // Whether the step gets only what nobody else wants.
    bool IsMarked() const { return Yields() && yielding == Yielding::kMarked; }
  };
  // A worker that accepts starts, with the capacity left after the decisions made so far.
  struct AvailableWorker {
    const CellWorker* worker = nullptr;
    Resources free;
    // The worker is reserved for a step that waits for its capacity. Later steps may start only
    // tasks that should end by `reserved_until`, when that capacity is expected to be free
    // (backfilling).
    bool reserved = false;
    // The reservation is for a large task or a gang.
    bool reserved_for_large = false;
    absl::Time reserved_until = absl::InfinitePast();
    // Best-effort tasks slow down serving tasks on the same worker, so a worker never runs both.
    bool has_serving = false;
    bool has_best_effort = false;
    bool empty = false;
    // The worker runs at most attempts that have run for so long that they are not suspected and
    // that will run until they are stopped.
    bool open_to_suspects = false;
    bool has_accelerators = false;
    // The job that all attempts on the worker belong to; null if there is no such job.
    const JobId* sole_job = nullptr;
    // The worker runs a suspected task and takes tasks of `sole_job` only.
    bool isolated = false;
    // Capacity of the worker is held for a task that waits for it.
    bool held = false;
    // The steps of the tasks that the round has placed there; empty if nothing rates workers.
    std::vector<const StepSpec*> placed;
  };

  // A running attempt of a long-running task on a worker that is leaving.
  struct LeavingTask {
    Candidate candidate;
    int task = 0;
    const CellWorker* worker = nullptr;
    AttemptKey attempt;
  };

  // A worker on which a step may run.
  struct EligibleWorker {
    AvailableWorker* available = nullptr;
    bool has_valid_ticket = false;
  };

  // Number of tasks of one step by worker id.
  using TaskCounts = absl::flat_hash_map<std::string, int>;

  void CollectCandidates(bool inherited_allowed);
  // Finds the long-running tasks that may be moved away from leaving workers, and holds the
  // capacity for those that are being moved.
  void CollectLeavingTasks(bool inherited_allowed);
  // Returns the task of the attempt if it is long-running and may be moved.
  std::optional<LeavingTask> FindLeavingTask(const CellWorker& worker, const Attempt& attempt,
                                             bool inherited_allowed) const;
  // Holds the capacity that the task is moved to.
  void HoldPlaceOfMove(const LeavingTask& leaving);
  // Decides which tasks on leaving workers are stopped, since they could start elsewhere at once.
  void PlanMoves();
  void PlanMove(const LeavingTask& leaving);
  // Returns the workers on which the task may run. Tickets count as valid only if they last for as
  // long as a stop may take.
  std::vector<EligibleWorker> FindWorkersToMoveTo(const Candidate& candidate);
  // Adds the step's tasks that this round starts on a worker or moves there, and those that earlier
  // rounds move there.
  void CountDecidedTasks(const Candidate& candidate, TaskCounts* per_worker) const;
  // Adds the long-running steps of a job that may not start any task yet to the result's waits.
  void ExplainInheritedWaits(const CellJob& job);
  // Returns what keeps the step's task from starting now.
  // `before` is the number of the step's waiting tasks that go before this one.
  StepWait ExplainWait(const Candidate& candidate, int task, size_t before) const;
  // Whether the customer's cap keeps a task of the step from starting if `before` others start
  // first.
  bool IsHeldByCap(const Candidate& candidate, size_t before) const;
  // Returns what keeps the task from starting on the worker, or no value.
  std::optional<WaitReason> FindObstacle(const Candidate& candidate, const CellTask& task,
                                         const AvailableWorker& available,
                                         const TaskCounts& per_worker) const;
  // Returns the numbers of active tasks of the step by worker if the step limits them.
  static TaskCounts CountActiveTasks(const StepSpec& step, const StepRun& run);
  // Returns how far the step yields by the order of the round.
  Yielding YieldingOf(const CellJob& job, const StepSpec& step) const;
  // Whether the step can hardly meet the objective of its job any more. Long-running steps have no
  // end to be late for.
  bool IsLate(const Candidate& candidate) const;
  void PlaceStep(const Candidate& candidate);
  // Removes those of the step's waiting tasks that exceed what its customer may start now.
  void ApplyGate(const Candidate& candidate, std::vector<int>* waiting) const;
  // Returns the expected slowdowns of the step on the worker, combined so that the first cost
  // decides before the others. They are rounded, so that small differences do not outweigh a good
  // fit.
  int64_t PlacementCostOf(const Candidate& candidate, const AvailableWorker& available) const;
  // Adds the decision to start a task to the result.
  void AddPlacement(const Candidate& candidate, PlacedTask placed);
  // Whether the step may wait while the owner is behind with its starts. Steps that depend on
  // reserved workers may not, since they would lose their reservations.
  bool MayYield(const Candidate& candidate) const;
  // Calls PlaceStep() and adds what is left waiting to the result's waits.
  void PlaceAndExplain(const Candidate& candidate);
  void PlaceTasks(const Candidate& candidate, const std::vector<int>& waiting);
  // Requests what the step lacks, of which `unplaced` tasks fit on no worker: advice, or workers
  // that are reserved for it.
  void RequestCapacity(const Candidate& candidate, int first_unplaced, size_t unplaced);
  // Keeps capacity from later steps for those of the tasks that have waited for long, on the
  // workers that should have room for them first. Adds these workers to `to_renew` if their tickets
  // have expired.
  void HoldCapacity(const Candidate& candidate, const std::vector<int>& unplaced,
                    TaskCounts* per_worker, std::set<WorkerId>* to_renew);
  // Returns the worker that should have capacity for the task first, and when, or null.
  std::pair<AvailableWorker*, absl::Time> FindWorkerToHold(
      const Candidate& candidate, const CellTask& task,
      const std::vector<EligibleWorker>& eligible_workers, const TaskCounts& per_worker);
  // Keeps free capacity from later steps while the adviser answers a question of a long-running
  // step about it, enough for `tasks` tasks by the share that the adviser allows.
  void HoldCapacityAskedAbout(const Candidate& candidate, size_t tasks);
  // Returns the workers named in the step's unanswered question, also if this round asks it.
  const std::vector<WorkerId>* FindWorkersAskedAbout(const Candidate& candidate) const;
  // Whether capacity of further workers may be held.
  bool MayHold() const { return held_slots_ < MaxReservedWorkers(); }
  void PlaceGang(const Candidate& candidate, const std::vector<int>& waiting);
  // Whether the pool still has its headroom for more urgent work after one more task of the step
  // starts. Always true for steps that are not patient.
  bool LeavesHeadroom(const Candidate& candidate) const;
  // Whether a marked step leaves the workers with accelerators their headroom if one of its tasks
  // starts on this worker.
  bool LeavesHeadroomOn(const Candidate& candidate, const AvailableWorker& available) const;
  // Chooses a worker whose best-effort attempts are stopped in favor of one serving task.
  void ChooseWorkerToClear(const Candidate& candidate);
  // Reserves the least loaded eligible workers for `tasks` tasks that currently fit on none.
  void ReserveWorkers(const Candidate& candidate, size_t tasks);
  // Requests advice in advance for a step that should start soon: its dependencies are all running
  // and short, or it is long-running and the worker of one of its tasks is leaving or may be lost.
  void RequestAdviceAhead(const Candidate& candidate);
  // Whether a task of a long-running run is on a worker that accepts no starts, for example because
  // it does not answer or is leaving.
  bool MayHaveToRestart(const CellJob& job, const StepRun& run) const;
  // Whether a task of the step could start now on a worker for which it has a valid ticket.
  bool HasUsableTicket(const Candidate& candidate) const;

  // Deducts one task of the step from the free capacity.
  void Allocate(const Candidate& candidate, const CellTask& task, AvailableWorker* available);
  // Whether the task may share the worker with what runs there. A task that is suspected of
  // crashing its workers shares them with its own job only.
  bool MayShareWorker(const Candidate& candidate, const CellTask& task,
                      const AvailableWorker& available) const;
  // Whether the worker is closed to other jobs while the task runs there. A suspected task that
  // starts beside others because it has waited is not isolated when too many workers are already.
  bool IsIsolatedOn(const Candidate& candidate, const CellTask& task,
                    const AvailableWorker& available) const;
  // Reserves a worker that is to run a suspected task of the step alone, unless too many workers
  // are reserved or isolated already.
  void ReserveWorkerForSuspect(const Candidate& candidate);
  // Whether further workers may be reserved.
  bool MayReserve(size_t workers) const;
  size_t MaxReservedWorkers() const;
  PlacedTask MakePlacement(const Candidate& candidate, int task,
                           const AvailableWorker& available) const;
  // Returns the workers on which the step may run, whether or not they have free capacity. If the
  // job uses the adviser, examines only the workers that it allows, whose number does not grow with
  // the pool.
  std::vector<EligibleWorker> FindEligibleWorkers(const Candidate& candidate);
  // Returns the best worker for one task, or null. With `require_valid_ticket`, the ticket for the
  // worker must still be valid; otherwise, an expired ticket is sufficient.
  AvailableWorker* FindWorker(const Candidate& candidate, const CellTask& task,
                              const std::vector<EligibleWorker>& eligible_workers,
                              bool require_valid_ticket, const TaskCounts& per_worker);
  // Whether the step already has the maximum number of tasks on this worker.
  static bool HasReachedWorkerLimit(const StepSpec& step, const WorkerId& worker,
                                    const TaskCounts& per_worker);
  // Whether a task of the step that starts now should end before the reservation of the worker
  // takes effect.
  bool EndsBeforeReservation(const StepSpec& step, const AvailableWorker& available) const;
  // Whether the task may start on a worker that is reserved for a large task although it will not
  // end before. A long-running task that has to be restarted or is late is out of service while it
  // waits, and it would wait for as long as large tasks keep arriving.
  bool MayUseReservation(const Candidate& candidate, const CellTask& task,
                         const AvailableWorker& available) const;
  // Whether a task of the step needs a large share of at least one worker.
  bool IsLarge(const StepSpec& step) const;
  // Whether this holds for each available worker, so that the step starts only on reserved ones.
  bool IsLargeOnAllWorkers(const StepSpec& step) const;
  static bool IsLargeOn(const AvailableWorker& available, const StepSpec& step);
  // Whether the step may run on the worker, apart from tickets, free capacity and what depends on
  // the single task.
  bool IsEligible(const StepSpec& step, const AvailableWorker& available) const;
  bool IsValid(const StepAdvice::Ticket& ticket) const;
  // Whether the step has a ticket for the worker; with `valid`, one that has not expired.
  bool HasTicket(const StepRun& run, const WorkerId& worker, bool valid) const;
  // Requests new tickets for the workers in `wanted`, on which the step would start now, and for a
  // few other workers with expired tickets.
  void RenewTickets(const Candidate& candidate, std::set<WorkerId> wanted,
                    const TaskCounts& per_worker);
  // Requests advice about workers that no answered question of the step has named.
  void RequestAdviceAboutNewWorkers(const Candidate& candidate);
  // Whether the job uses the adviser and a question about the step may be sent now.
  bool CanRequestAdvice(const Candidate& candidate) const;
  // Returns how many of the workers a question has to name so that the step's waiting tasks should
  // fit on those that the adviser allows. `ranked` holds the workers in the order in which they are
  // named.
  size_t WorkersToName(const Candidate& candidate,
                       const std::vector<std::pair<double, WorkerId>>& ranked) const;
  // Adds the other workers with capacity for the step that it has no valid ticket for, within twice
  // the cost of the call. A step has one question at a time, so a worker that is left out would
  // have to wait for this answer and the next.
  void CompleteQuestion(const Candidate& candidate, std::vector<WorkerId>* workers) const;
  void RequestAdvice(const Candidate& candidate, std::vector<WorkerId> workers);

  const std::map<JobId, const CellJob*>& jobs_;
  const AdviceShares& advice_shares_;
  const absl::Time now_;
  const RoundPolicies policies_;
  std::vector<AvailableWorker> available_workers_;
  // Workers that have announced that they leave, and that still answer.
  std::vector<const CellWorker*> leaving_workers_;
  std::vector<LeavingTask> leaving_tasks_;
  // Number of tasks that are being moved, or for which capacity is held until they can be moved.
  size_t moves_ = 0;
  // Maps worker ids to indices in available_workers_.
  absl::flat_hash_map<std::string_view, size_t> available_index_;
  std::vector<Candidate> candidates_;
  // Steps that are expected to become ready soon.
  std::vector<Candidate> upcoming_;
  size_t reserved_workers_ = 0;
  size_t isolated_workers_ = 0;
  // Number of tasks for which capacity is held.
  size_t held_slots_ = 0;
  // Free capacity of all available workers, and the amount of it that patient steps must leave
  // free.
  Resources free_capacity_;
  Resources headroom_;
  // What patient steps leave free while marked ones wait.
  Resources headroom_before_marked_;
  // The same for the processors of the workers with accelerators, which jobs that need none could
  // use up otherwise. Only marked steps leave this headroom free.
  Resources free_with_accelerators_;
  Resources headroom_with_accelerators_;
  // Marked steps wait, so that they take what other patient steps would leave free.
  bool marked_steps_wait_ = false;
  // Highest priority of all open jobs; the lowest number is the most urgent.
  int highest_priority_ = 0;
  // Number of starts that late steps may still get in this round.
  size_t late_starts_left_ = 0;
  // Number of starts that steps which yield may still get in this round.
  size_t yielding_starts_left_ = 0;
  // Numbers of unanswered questions of late steps and of those that yield, and whether the first is
  // limited.
  size_t late_questions_ = 0;
  size_t yielding_questions_ = 0;
  bool limits_late_questions_ = false;
  bool explain_waits_ = false;
  RoundResult result_;
};

// Returns the capacity that a task of the step reserves on a worker. The CPU demand of best-effort
// tasks is not reserved.
Resources ReservedFor(const StepSpec& step);

// True if the step has a latency target.
bool IsServing(const StepSpec& step);
// Sets the image of an attempt of the step, the capacity that it reserves, its estimate, and
// whether it is serving or best-effort.
void SetDemand(const StepSpec& step, Attempt* attempt);

// True if the run has waiting tasks, all steps that it depends on have succeeded, and it is due.
bool IsStartable(const CellJob& job, const StepRun& run, absl::Time now);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_SCHEDULE_ROUND_H_
