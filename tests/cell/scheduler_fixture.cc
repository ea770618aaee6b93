#include "tests/cell/scheduler_fixture.h"

#include <algorithm>
#include <utility>

namespace pomelotray {
namespace {

const char kPool[] = "rendering";

std::vector<SentOrder> FilterByKind(const std::vector<SentOrder>& orders, WorkerOrder::Kind kind) {
  std::vector<SentOrder> matching;
  std::copy_if(orders.begin(), orders.end(), std::back_inserter(matching),
               [kind](const SentOrder& sent) { return sent.order.kind == kind; });
  return matching;
}

}  // namespace

SchedulerFixture::SchedulerFixture(int64_t term)
    : term_(term),
      scheduler_(std::make_unique<PoolScheduler>(PoolPart{PoolName(kPool), 0, 1}, term,
                                                 PoolLimits(), &events_)) {}

StepSpec SchedulerFixture::Step(int tasks, int64_t cpu, int64_t memory, int64_t accelerators) {
  StepSpec step;
  step.task_count = tasks;
  step.demand.cpu = MilliCores(cpu);
  step.demand.memory = MebiBytes(memory);
  step.demand.accelerators = AcceleratorCount(accelerators);
  step.estimate = absl::Seconds(1);
  return step;
}

JobIntake SchedulerFixture::Job(const std::string& id, std::vector<StepSpec> steps,
                                int max_attempts, int priority) {
  JobIntake intake;
  intake.id = JobId(id);
  intake.policy.name = "queue";
  intake.policy.pool = PoolName(kPool);
  intake.policy.max_attempts = max_attempts;
  intake.policy.priority = priority;
  intake.policy.stretch = 2;
  intake.policy.target_latency = absl::Seconds(1);
  intake.spec.payload = "payload of " + id;
  intake.spec.steps = std::move(steps);
  intake.accepted = ManualClock().Now();
  return intake;
}

WorkerDescription SchedulerFixture::Worker(const std::string& id, int64_t cpu, int64_t memory,
                                           int64_t accelerators) {
  WorkerDescription worker;
  worker.id = WorkerId(id);
  worker.address = "10.0.0.1:80";
  worker.pool = PoolName(kPool);
  worker.capacity.cpu = MilliCores(cpu);
  worker.capacity.memory = MebiBytes(memory);
  worker.capacity.accelerators = AcceleratorCount(accelerators);
  return worker;
}

void SchedulerFixture::AddWorkers(const std::vector<WorkerDescription>& workers) {
  listed_.clear();
  std::vector<WorkerId> ids;
  ids.reserve(workers.size());
  for (const WorkerDescription& worker : workers) {
    ids.push_back(worker.id);
    listed_[worker.id.value()] = worker;
  }
  scheduler().UpdateDirectory(workers, Now());
  scheduler().ConfirmRoster(ids);
  for (const WorkerDescription& worker : workers) {
    Report(worker.id.value(), {});
  }
}

std::vector<SentOrder> SchedulerFixture::Round(bool confirm) {
  std::vector<SentOrder> sent;
  for (auto& [worker, order] : scheduler().Schedule(Now()).orders) {
    sent.push_back(SentOrder{worker, order});
    if (order.kind == WorkerOrder::Kind::kStart) {
      scheduler().PrepareStart(worker, order.key, Now());
    }
    if (confirm && order.kind == WorkerOrder::Kind::kStart) {
      scheduler().StartFinished(worker, order.key, OrderOutcome{OrderAnswer::kAccepted, false},
                                Now());
    } else if (confirm) {
      scheduler().StopFinished(worker, order.key, OrderOutcome{OrderAnswer::kAccepted, false},
                               Now());
    }
  }
  return sent;
}

void SchedulerFixture::Report(const std::string& worker, std::vector<RunningAttempt> running,
                              const std::vector<std::pair<AttemptKey, AttemptEnd>>& ended,
                              bool may_omit_ends) {
  Advance(absl::Milliseconds(1));
  WorkerReport report;
  report.clock = WorkerTime(1000);
  report.started_at = absl::UnixEpoch();
  report.running = std::move(running);
  report.may_omit_ends = may_omit_ends;
  for (const auto& [key, end] : ended) {
    report.ended.push_back(EndedAttempt{EndNumber(++last_end_number_[worker]), key, end, ""});
  }
  scheduler().ApplyReport(WorkerId(worker), report, Now(), Now());
  scheduler().ExtendLease(WorkerId(worker), Now());
  Advance(absl::Milliseconds(1));
}

void SchedulerFixture::Crash(const std::string& worker, const std::string& successor) {
  scheduler().HoldFailed(WorkerId(worker), Now());
  Advance(kRestartTime);
  WorkerDescription next = listed_.at(worker);
  next.id = WorkerId(successor);
  listed_.erase(worker);
  listed_[successor] = next;
  std::vector<WorkerDescription> workers;
  for (const auto& [id, description] : listed_) {
    workers.push_back(description);
  }
  scheduler().UpdateDirectory(workers, Now());
  scheduler().WorkerReplaced(WorkerId(worker), Now());
  scheduler().ConfirmRoster({next.id});
  Report(successor, {});
}

std::vector<Event> SchedulerFixture::Events(EventCode code) const {
  std::vector<Event> events = events_.Select({});
  events.erase(std::remove_if(events.begin(), events.end(),
                              [code](const Event& event) { return event.code != code; }),
               events.end());
  return events;
}

void SchedulerFixture::CommitAll() {
  const std::vector<ProgressRecord> records = scheduler().TakeChangedRecords(1000);
  for (const ProgressRecord& record : records) {
    stored_progress_[record.job] = record.text;
  }
  scheduler().MarkCommitted(records);
}

void SchedulerFixture::TakeOver(std::vector<JobIntake> jobs,
                                const std::vector<WorkerDescription>& workers) {
  std::vector<RosterEntry> roster;
  roster.reserve(workers.size());
  for (const WorkerDescription& worker : workers) {
    roster.emplace_back().worker = worker;
  }
  TakeOver(std::move(jobs), roster);
}

void SchedulerFixture::TakeOver(std::vector<JobIntake> jobs,
                                const std::vector<RosterEntry>& roster) {
  std::vector<WorkerDescription> workers;
  workers.reserve(roster.size());
  for (const RosterEntry& entry : roster) {
    workers.push_back(entry.worker);
  }
  scheduler_ = std::make_unique<PoolScheduler>(PoolPart{PoolName(kPool), 0, 1}, ++term_,
                                               PoolLimits(), &events_);
  scheduler().LoadInheritedState(std::move(jobs), stored_progress_, roster,
                                 InheritedTimes{Now(), Now(), roster_written_});
  scheduler().UpdateDirectory(workers, Now());
}

CellJobState SchedulerFixture::State(const std::string& job) {
  return scheduler().VisibleState(JobId(job)).value();
}

RunningAttempt SchedulerFixture::Running(const AttemptKey& key, int percent) {
  return RunningAttempt{key, "", percent, 0};
}

std::vector<SentOrder> Starts(const std::vector<SentOrder>& orders) {
  return FilterByKind(orders, WorkerOrder::Kind::kStart);
}

std::vector<SentOrder> Stops(const std::vector<SentOrder>& orders) {
  return FilterByKind(orders, WorkerOrder::Kind::kStop);
}

}  // namespace pomelotray
