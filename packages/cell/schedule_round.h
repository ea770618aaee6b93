#ifndef POMELOTRAY_CELL_SCHEDULE_ROUND_H_
#define POMELOTRAY_CELL_SCHEDULE_ROUND_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cell/cell_job.h"
#include "cell/worker_book.h"

namespace pomelotray {

// A decision to start one task on one worker.
struct PlacedTask {
  TaskRef task;
  WorkerId worker;
  std::string ticket;
};

// A decision to ask which of these workers may run a step.
struct AdviceRequest {
  TaskRef step;
  AdviceQuestion question;
  int priority = 0;
  // Expected time of the call.
  absl::Duration cost;
};

struct RoundResult {
  std::vector<PlacedTask> placed;
  std::vector<AdviceRequest> advice;
  // Workers whose filling work has to stop, because a serving task finds no room elsewhere.
  std::vector<WorkerId> to_clear;
  // How many times a room was considered for a task; the cost of the round.
  int64_t rooms_considered = 0;
};

// One pass over all waiting tasks of a pool: decides what starts where. Reads the jobs and workers
// and changes neither. Steps are taken by priority and objective. Of one priority, those that can
// still meet their objective go first: in the order of the objectives alone, an overload makes
// every job late (domino effect). Jobs that are worth nothing any more come last. A step that waits
// for renewed tickets keeps room from later steps, and a gang or a large task that does not fit
// keeps later work off workers that it could use, since small tasks would fill each gap for ever
// (starvation of large jobs). Patient work leaves headroom while there is more urgent work: a full
// pool frees room only as fast as its long tasks end, so a burst of short urgent tasks would wait
// for them (priority inversion).
class ScheduleRound {
 public:
  // `jobs`: those that are not final.
  ScheduleRound(const std::map<JobId, const CellJob*>& jobs,
                const std::map<WorkerId, CellWorker>& workers, absl::Time now);

  // `inherited_allowed`: tasks of inherited jobs without a known attempt may start.
  RoundResult Run(bool inherited_allowed);

 private:
  struct Candidate {
    const CellJob* job = nullptr;
    int run = 0;
  };
  struct Room {
    const CellWorker* worker = nullptr;
    Resources free;
    // A step waits for this worker to empty: later steps do not start here, but for tasks that
    // should end before it would be empty anyway (backfilling).
    bool kept = false;
    absl::Time kept_until = absl::InfinitePast();
    // Filling work slows serving tasks on the same worker, so the two keep apart.
    bool serving = false;
    bool filling = false;
  };

  // A room that a step may use.
  struct Option {
    Room* room = nullptr;
    bool has_ticket = false;
  };

  // Tasks of one step on each worker.
  using TaskCounts = absl::flat_hash_map<std::string, int>;

  void Collect(bool inherited_allowed);
  void ConsiderStep(const Candidate& candidate);
  void PlaceTasks(const Candidate& candidate, const std::vector<int>& waiting);
  void PlaceGang(const Candidate& candidate, const std::vector<int>& waiting);
  // Whether one more task of the step leaves the pool's headroom free for more urgent work. Holds
  // for steps without time to spare.
  bool LeavesHeadroom(const Candidate& candidate) const;
  // Chooses a worker whose filling work makes room for one serving task.
  void ClearForServing(const Candidate& candidate);
  // Keeps the emptiest usable workers free for `tasks` tasks that do not fit anywhere now.
  void KeepRoom(const Candidate& candidate, size_t tasks);
  // Asks early about a step whose dependencies are all running and short.
  void AskAhead(const Candidate& candidate);

  void Take(const StepSpec& step, Room* room);
  PlacedTask Place(const Candidate& candidate, int task, const Room& room) const;
  // Rooms that the step may use, full or not. Looks at allowed workers only: their number does not
  // grow with the pool.
  std::vector<Option> OptionsFor(const Candidate& candidate);
  // The best room for one task, or null. With `with_ticket`, its ticket must still be valid;
  // otherwise it is enough that the worker is known to be allowed.
  Room* FindRoom(const Candidate& candidate, const CellTask& task,
                 const std::vector<Option>& options, bool with_ticket,
                 const TaskCounts& per_worker);
  // Whether the step may not have more tasks on this worker.
  static bool IsSpread(const StepSpec& step, const WorkerId& worker, const TaskCounts& per_worker);
  // Whether a task that is started now should be over when the worker's kept room is needed.
  bool EndsInTime(const StepSpec& step, const Room& room) const;
  bool IsLarge(const StepSpec& step) const;
  bool MayUse(const StepSpec& step, const Room& room) const;
  bool IsValid(const StepAdvice::Ticket& ticket) const;
  bool HasTicket(const StepRun& run, const WorkerId& worker, bool valid) const;
  // Renews the tickets of the workers that the step would use now and, beyond them, a few others.
  void RenewTickets(const Candidate& candidate, std::set<WorkerId> wanted,
                    const TaskCounts& per_worker);
  // Asks about workers that the step has not asked about.
  void AskAboutOthers(const Candidate& candidate);
  bool MayAsk(const Candidate& candidate) const;
  void Ask(const Candidate& candidate, std::vector<WorkerId> workers);

  const std::map<JobId, const CellJob*>& jobs_;
  const absl::Time now_;
  std::vector<Room> rooms_;
  // Indices into rooms_ by the worker's id.
  absl::flat_hash_map<std::string_view, size_t> room_of_;
  std::vector<Candidate> candidates_;
  // Steps that will be ready soon.
  std::vector<Candidate> upcoming_;
  size_t kept_workers_ = 0;
  // Of all rooms together, and the part of it that patient work leaves free.
  Resources free_;
  Resources headroom_;
  // Of the open jobs; 0 is the most urgent.
  int most_urgent_ = 0;
  RoundResult result_;
};

// What a task occupies on a worker: the processors of filling work do not count.
Resources ReservedFor(const StepSpec& step);

bool IsServing(const StepSpec& step);
// Fills in what an attempt of this step occupies and how it shares its worker.
void SetNeeds(const StepSpec& step, Attempt* attempt);

// True when all steps that the run waits for have succeeded and its time has come.
bool IsStartable(const CellJob& job, const StepRun& run, absl::Time now);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_SCHEDULE_ROUND_H_
