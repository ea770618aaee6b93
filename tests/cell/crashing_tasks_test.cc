#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Most starts of a task that crashes its workers: three until three workers have crashed under it,
// and two more.
constexpr int kMaxStartsOfCrashingTask = 5;

std::string WorkerName(int number) { return "w" + std::to_string(number); }

// A pool in which the process of a worker crashes whenever it starts a certain task, and is
// replaced by another one at the same address. All other tasks run until the test ends them.
class CrashingPool {
 public:
  CrashingPool(int workers, int64_t cpu, std::string crashing_task)
      : crashing_task_(std::move(crashing_task)), next_worker_(workers) {
    std::vector<WorkerDescription> descriptions;
    for (int i = 0; i < workers; ++i) {
      descriptions.push_back(Fixture::Worker(WorkerName(i), cpu));
      running_[WorkerName(i)];
    }
    fixture_.AddWorkers(descriptions);
  }

  Fixture& fixture() { return fixture_; }
  int starts_of_crashing_task() const { return starts_of_crashing_task_; }
  // Attempts of other tasks that were on a worker when it crashed.
  int bystanders() const { return bystanders_; }
  const std::map<std::string, std::vector<AttemptKey>>& running() const { return running_; }

  // Runs one round. Lets each worker that was told to start the crashing task crash after `delay`.
  void Step(absl::Duration delay = absl::Milliseconds(10)) {
    ReportAll();
    std::vector<std::string> crashed;
    for (const SentOrder& sent : Starts(fixture_.Round())) {
      running_[sent.worker.value()].push_back(sent.order.key);
      if (sent.order.key.task == crashing_task_) {
        ++starts_of_crashing_task_;
        crashed.push_back(sent.worker.value());
      }
    }
    fixture_.Advance(delay);
    for (const std::string& worker : crashed) {
      bystanders_ += static_cast<int>(running_[worker].size()) - 1;
      running_.erase(worker);
      const std::string next = WorkerName(next_worker_++);
      fixture_.Crash(worker, next);
      running_[next];
    }
    fixture_.CommitAll();
  }

  // Ends all running attempts.
  void EndAll(AttemptEnd end) {
    for (auto& [worker, keys] : running_) {
      std::vector<std::pair<AttemptKey, AttemptEnd>> ended;
      for (const AttemptKey& key : keys) {
        ended.emplace_back(key, end);
      }
      keys.clear();
      fixture_.Report(worker, {}, ended);
    }
    fixture_.CommitAll();
  }

 private:
  void ReportAll() {
    for (const auto& [worker, keys] : running_) {
      std::vector<RunningAttempt> running;
      for (const AttemptKey& key : keys) {
        running.push_back(Fixture::Running(key, ++percent_ % 100));
      }
      fixture_.Report(worker, running);
    }
  }

  Fixture fixture_;
  const std::string crashing_task_;
  int next_worker_;
  int starts_of_crashing_task_ = 0;
  int bystanders_ = 0;
  int percent_ = 0;
  std::map<std::string, std::vector<AttemptKey>> running_;
};

BOOST_AUTO_TEST_SUITE(CrashingTasksTest)

// Guards against a task that crashes one worker after the other because nothing counts the crashes.
BOOST_AUTO_TEST_CASE(TaskThatCrashesEachWorkerIsGivenUp) {
  CrashingPool pool(4, 4000, "a.0.0.0");
  pool.fixture().AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  for (int i = 0; i < 10; ++i) {
    pool.Step();
  }
  BOOST_TEST(pool.starts_of_crashing_task() >= 2);
  BOOST_TEST(pool.starts_of_crashing_task() <= kMaxStartsOfCrashingTask);
  BOOST_TEST((pool.fixture().State("a") == CellJobState::kFailed));
}

// Guards against a pool that loses the same bystanders again and again, and against giving up tasks
// that were merely on a worker when another task crashed it.
BOOST_AUTO_TEST_CASE(TasksBesideACrashingTaskSurvive) {
  CrashingPool pool(4, 8000, "crashing.0.0.0");
  std::vector<std::string> others;
  for (int i = 0; i < 6; ++i) {
    others.push_back("other" + std::to_string(i));
    pool.fixture().AddJob(Fixture::Job(others.back(), {Fixture::Step(1, 1000)}));
  }
  pool.fixture().AddJob(Fixture::Job("crashing", {Fixture::Step(1, 1000)}));
  pool.Step();
  const int bystanders = pool.bystanders();
  for (int i = 0; i < 8; ++i) {
    pool.Step();
  }
  BOOST_TEST(pool.bystanders() == bystanders);
  BOOST_TEST((pool.fixture().State("crashing") == CellJobState::kFailed));
  // The bystanders run one after the other on a worker of their own, since the pool is small.
  for (size_t i = 0; i < others.size(); ++i) {
    pool.EndAll(AttemptEnd::kSucceeded);
    pool.Step();
  }
  pool.EndAll(AttemptEnd::kSucceeded);
  for (const std::string& job : others) {
    BOOST_TEST((pool.fixture().State(job) == CellJobState::kCompleted));
  }
}

// Guards against a new owner that starts to count the crashes of a task from zero.
BOOST_AUTO_TEST_CASE(CrashesCountAfterATakeover) {
  const JobIntake job = Fixture::Job("a", {Fixture::Step(1, 1000)});
  Fixture fixture;
  std::vector<WorkerDescription> workers = {Fixture::Worker("w0", 1000)};
  fixture.AddWorkers(workers);
  fixture.AddJob(job);
  int starts = 0;
  for (int i = 0; i < 8; ++i) {
    const std::vector<SentOrder> started = Starts(fixture.Round());
    starts += static_cast<int>(started.size());
    fixture.Advance(absl::Milliseconds(10));
    fixture.Crash(WorkerName(i), WorkerName(i + 1));
    fixture.CommitAll();
    if (fixture.State("a") == CellJobState::kFailed) {
      break;
    }
    workers = {Fixture::Worker(WorkerName(i + 1), 1000)};
    fixture.TakeOver({job}, workers);
    fixture.AddWorkers(workers);
  }
  BOOST_TEST((fixture.State("a") == CellJobState::kFailed));
  BOOST_TEST(starts <= kMaxStartsOfCrashingTask);
}

// Guards against a crash that is forgotten because the owner is lost before the next process of the
// worker shows that it was one.
BOOST_AUTO_TEST_CASE(CrashJustBeforeATakeoverCounts) {
  const JobIntake job = Fixture::Job("a", {Fixture::Step(1, 1000)});
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 1000)});
  fixture.AddJob(job);
  int starts = 0;
  for (int i = 0; i < 8; ++i) {
    starts += static_cast<int>(Starts(fixture.Round()).size());
    fixture.Advance(absl::Milliseconds(10));
    fixture.scheduler().HoldFailed(WorkerId(WorkerName(i)), fixture.Now());
    fixture.CommitAll();
    if (fixture.State("a") == CellJobState::kFailed) {
      break;
    }
    // The next owner learns only that the worker of the roster has been replaced.
    fixture.TakeOver({job}, {Fixture::Worker(WorkerName(i), 1000)});
    fixture.Advance(Fixture::kRestartTime);
    fixture.scheduler().WorkerReplaced(WorkerId(WorkerName(i)), fixture.Now());
    fixture.AddWorkers({Fixture::Worker(WorkerName(i + 1), 1000)});
    fixture.CommitAll();
  }
  BOOST_TEST((fixture.State("a") == CellJobState::kFailed));
  BOOST_TEST(starts <= kMaxStartsOfCrashingTask);
}

// Guards against giving up a task whose workers were lost for other causes.
BOOST_AUTO_TEST_CASE(CutOffAndLeavingWorkersDoNotCountAsCrashes) {
  for (const bool leaving : {false, true}) {
    Fixture fixture;
    fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
    for (int i = 0; i < 6; ++i) {
      WorkerDescription worker = Fixture::Worker(WorkerName(i), 1000);
      fixture.AddWorkers({worker});
      BOOST_REQUIRE_EQUAL(Starts(fixture.Round()).size(), 1U);
      worker.draining = leaving;
      fixture.scheduler().UpdateDirectory({worker}, fixture.Now());
      fixture.Advance(absl::Milliseconds(10));
      fixture.scheduler().HoldFailed(worker.id, fixture.Now());
      fixture.Advance(absl::Seconds(7));
      BOOST_TEST(Starts(fixture.Round()).empty());
      fixture.CommitAll();
    }
    BOOST_TEST((fixture.State("a") == CellJobState::kRunning));
    BOOST_TEST(fixture.scheduler().jobs().at(JobId("a")).runs[0].tasks[0].losses.empty());
  }
}

// Guards against giving up a task that was sent to workers that were already gone: they never
// started it.
BOOST_AUTO_TEST_CASE(UnconfirmedStartsDoNotCountAsCrashes) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 1000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  for (int i = 0; i < 6; ++i) {
    const SentOrder started = Starts(fixture.Round(/*confirm=*/false)).at(0);
    fixture.Advance(absl::Milliseconds(10));
    fixture.scheduler().StartFinished(started.worker, started.order.key, OrderOutcome{},
                                      fixture.Now());
    fixture.Crash(WorkerName(i), WorkerName(i + 1));
    fixture.CommitAll();
  }
  BOOST_TEST((fixture.State("a") == CellJobState::kQueued));
  BOOST_TEST(fixture.scheduler().jobs().at(JobId("a")).runs[0].tasks[0].losses.empty());
}

// Guards against suspecting a task because one call to its worker failed.
BOOST_AUTO_TEST_CASE(WorkerThatAnswersAgainHasNotCrashed) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 1000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  const SentOrder started = Starts(fixture.Round()).at(0);
  const WorkerLossHistory& losses =
      fixture.scheduler().jobs().at(JobId("a")).runs[0].tasks[0].losses;
  fixture.scheduler().HoldFailed(started.worker, fixture.Now());
  BOOST_TEST(!losses.empty());
  fixture.Report("w0", {Fixture::Running(started.order.key)});
  BOOST_TEST(losses.empty());
}

// Guards against a task that crashes its workers in the middle of its run and is taken for one of
// the many that run beside it.
BOOST_AUTO_TEST_CASE(TaskThatCrashesWorkersLateIsGivenUp) {
  CrashingPool pool(6, 4000, "late.0.0.0");
  pool.fixture().AddJob(Fixture::Job("late", {Fixture::Step(1, 1000)}));
  for (int i = 0; i < 4; ++i) {
    pool.fixture().AddJob(Fixture::Job("other" + std::to_string(i), {Fixture::Step(1, 1000)}));
  }
  for (int i = 0; i < 10; ++i) {
    pool.Step(absl::Milliseconds(1400));
  }
  BOOST_TEST(pool.starts_of_crashing_task() >= 3);
  BOOST_TEST(pool.starts_of_crashing_task() <= kMaxStartsOfCrashingTask);
  BOOST_TEST((pool.fixture().State("late") == CellJobState::kFailed));
}

// Guards against a long-running task that occupies a whole worker, or is given up, because it
// outlived several workers.
BOOST_AUTO_TEST_CASE(LongRunningTaskOutlivesItsWorkers) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 2000)});
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  fixture.AddJob(Fixture::Job("a", {lasting}));
  for (int i = 0; i < 6; ++i) {
    const SentOrder started = Starts(fixture.Round()).at(0);
    for (int second = 0; second < 12; ++second) {
      fixture.Report(WorkerName(i), {Fixture::Running(started.order.key, second)});
      fixture.Advance(absl::Seconds(1));
    }
    fixture.Crash(WorkerName(i), WorkerName(i + 1));
  }
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kRunning));
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(1, 1000)}));
  BOOST_TEST(Starts(fixture.Round()).size() == 2U);
}

// Guards against a task that is withheld from workers with capacity, or given up, because it lost
// its workers in waves of crashes that took many others as well.
BOOST_AUTO_TEST_CASE(LossesInWavesOfCrashesAreNoEvidence) {
  for (const bool long_running : {true, false}) {
    constexpr int kWorkers = 12;
    constexpr int kWaves = 3;
    Fixture fixture;
    std::vector<WorkerDescription> workers;
    workers.reserve(kWorkers);
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(Fixture::Worker(WorkerName(i), 1000));
    }
    fixture.AddWorkers(workers);
    StepSpec step = Fixture::Step(1, 1000);
    step.long_running = long_running;
    fixture.AddJob(Fixture::Job("a", {step}));
    for (int wave = 0; wave < kWaves; ++wave) {
      const std::vector<SentOrder> started = Starts(fixture.Round());
      BOOST_REQUIRE_EQUAL(started.size(), 1U);
      fixture.Advance(absl::Milliseconds(800));
      std::vector<std::string> lost = {started[0].worker.value()};
      for (const auto& [id, worker] : fixture.scheduler().workers()) {
        if (worker.listed && lost.size() < kWorkers / 3 && id != started[0].worker) {
          lost.push_back(id.value());
        }
      }
      for (const std::string& id : lost) {
        fixture.scheduler().HoldFailed(WorkerId(id), fixture.Now());
        fixture.Advance(absl::Milliseconds(50));
      }
      for (size_t i = 0; i < lost.size(); ++i) {
        fixture.Crash(lost[i], absl::StrCat("w", wave + 1, "-", i));
      }
      fixture.CommitAll();
    }
    BOOST_TEST((fixture.State("a") == CellJobState::kRunning));
    const CellJob& job = fixture.scheduler().jobs().at(JobId("a"));
    BOOST_TEST(!NeedsIsolation(job.Step(job.runs[0]), job.runs[0].tasks[0]));
  }
}

// Guards against an owner that suspects a long-running task for losses about which it knows
// nothing: earlier owners started the attempts, so it may have been a wave.
BOOST_AUTO_TEST_CASE(LossesOfInheritedAttemptsRaiseNoSuspicionOfLongRunningTasks) {
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  const JobIntake job = Fixture::Job("a", {lasting});
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 1000)});
  fixture.AddJob(job);
  for (int i = 0; i < 3; ++i) {
    const SentOrder started = Starts(fixture.Round()).at(0);
    const std::vector<WorkerDescription> workers = {Fixture::Worker(WorkerName(i), 1000)};
    fixture.TakeOver({job}, workers);
    fixture.AddWorkers(workers);
    fixture.Report(WorkerName(i), {Fixture::Running(started.order.key)});
    fixture.Advance(absl::Seconds(2));
    fixture.Crash(WorkerName(i), WorkerName(i + 1));
    fixture.CommitAll();
  }
  const CellTask& task = fixture.scheduler().jobs().at(JobId("a")).runs[0].tasks[0];
  BOOST_TEST(task.losses.attempts().size() == 3U);
  BOOST_TEST(!NeedsIsolation(lasting, task));
}

// Starts the long-running task `job` on its only worker, lets it run for `duration` and crashes the
// worker. Returns the name of the next one.
std::string RunAndCrash(Fixture* fixture, int worker, int seconds) {
  const SentOrder started = Starts(fixture->Round()).at(0);
  for (int second = 0; second < seconds; ++second) {
    fixture->Report(WorkerName(worker), {Fixture::Running(started.order.key, second)});
    fixture->Advance(absl::Seconds(1));
  }
  fixture->Crash(WorkerName(worker), WorkerName(worker + 1));
  fixture->CommitAll();
  return WorkerName(worker + 1);
}

// Guards against a long-running suspect that keeps its worker isolated for twice its longest run,
// far longer than a task takes to crash its worker.
BOOST_AUTO_TEST_CASE(LongRunningSuspectSharesItsWorkerOnceItHasSettled) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 2000)});
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  fixture.AddJob(Fixture::Job("a", {lasting}));
  for (int i = 0; i < 3; ++i) {
    // Run times that are not similar, so that the job is not given up.
    RunAndCrash(&fixture, i, 9 - 3 * i);
  }
  const SentOrder started = Starts(fixture.Round()).at(0);
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(1, 1000)}));
  for (int second = 0; second < 9; ++second) {
    fixture.Report("w3", {Fixture::Running(started.order.key, second)});
    BOOST_TEST(Starts(fixture.Round()).empty());
    fixture.Advance(absl::Seconds(1));
  }
  const CellWorker& worker = fixture.scheduler().workers().at(WorkerId("w3"));
  BOOST_TEST(worker.HasIsolated());
  BOOST_TEST((worker.ExpectedOpenToSuspects(fixture.Now()) <= fixture.Now() + absl::Seconds(2)));
  fixture.Advance(absl::Seconds(1));
  fixture.Report("w3", {Fixture::Running(started.order.key, 100)});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

// Guards against losses of a long-running task that count although it has run on without harm
// since, not isolated: with further losses they add up to a suspicion.
BOOST_AUTO_TEST_CASE(LongRunningTaskThatRunsOnIsCleared) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 2000)});
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  fixture.AddJob(Fixture::Job("a", {lasting}));
  const std::string next = RunAndCrash(&fixture, 0, 3);
  const WorkerLossHistory& losses =
      fixture.scheduler().jobs().at(JobId("a")).runs[0].tasks[0].losses;
  const SentOrder started = Starts(fixture.Round()).at(0);
  for (int second = 0; second < 8; ++second) {
    BOOST_TEST(!losses.empty());
    fixture.Report(next, {Fixture::Running(started.order.key, second)});
    fixture.Advance(absl::Seconds(1));
  }
  BOOST_TEST(losses.empty());
}

// Guards against a job that ends as failed because crashes at a regular interval, which have
// nothing to do with its task, hit the task's worker three times, and against a task that crashes
// its workers late and is never given up.
BOOST_AUTO_TEST_CASE(ThreeRegularCrashesLongAfterTheStartDoNotCondemn) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 1000)});
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  for (int i = 0; i < kMaxStartsOfCrashingTask; ++i) {
    BOOST_TEST((fixture.State("a") != CellJobState::kFailed));
    RunAndCrash(&fixture, i, 2);
  }
  BOOST_TEST((fixture.State("a") == CellJobState::kFailed));
}

// Guards against a long-running task that crashes its workers right at its start and is never given
// up, since it finds no worker of its own and starts beside other work each time.
BOOST_AUTO_TEST_CASE(LongRunningTaskThatCrashesSharedWorkersAtItsStartIsGivenUp) {
  constexpr int kWorkers = 6;
  constexpr absl::Duration kRound = absl::Milliseconds(200);
  CrashingPool pool(kWorkers, 2000, "crashing.0.0.0");
  StepSpec occupied = Fixture::Step(kWorkers, 1000);
  occupied.max_per_worker = 1;
  occupied.estimate = absl::Minutes(10);
  pool.fixture().AddJob(Fixture::Job("other", {occupied}, 2, /*priority=*/0));
  pool.Step(absl::Seconds(2));
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  pool.fixture().AddJob(Fixture::Job("crashing", {lasting}));
  for (int i = 0; i < 100 && pool.fixture().State("crashing") != CellJobState::kFailed; ++i) {
    pool.Step(absl::Milliseconds(20));
    pool.fixture().Advance(kRound);
  }
  BOOST_TEST((pool.fixture().State("crashing") == CellJobState::kFailed));
  BOOST_TEST((pool.fixture().State("other") == CellJobState::kRunning));
  BOOST_TEST(pool.starts_of_crashing_task() <= kMaxStartsOfCrashingTask);
}

// Guards against a gang that is started for ever because one of its members crashes its workers,
// and against a gang that never starts whole again after one of its members became suspected.
BOOST_AUTO_TEST_CASE(GangOfACrashingMemberIsGivenUp) {
  CrashingPool pool(6, 1000, "gang.0.0.1");
  StepSpec gang = Fixture::Step(3, 1000);
  gang.gang = true;
  pool.fixture().AddJob(Fixture::Job("gang", {gang}));
  for (int i = 0; i < 10; ++i) {
    pool.Step();
    pool.EndAll(AttemptEnd::kGangBroken);
  }
  BOOST_TEST(pool.starts_of_crashing_task() >= 2);
  BOOST_TEST(pool.starts_of_crashing_task() <= kMaxStartsOfCrashingTask);
  BOOST_TEST((pool.fixture().State("gang") == CellJobState::kFailed));
}

// Guards against a suspected task that holds a whole worker for ever although it does no harm.
BOOST_AUTO_TEST_CASE(SuspectThatSurvivesSharesItsWorkerAgain) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 2000)});
  StepSpec lasting = Fixture::Step(1, 1000);
  lasting.long_running = true;
  fixture.AddJob(Fixture::Job("a", {lasting}));
  fixture.Round();
  fixture.Advance(absl::Milliseconds(10));
  fixture.Crash("w0", "w1");
  const SentOrder again = Starts(fixture.Round()).at(0);
  fixture.AddJob(Fixture::Job("b", {Fixture::Step(1, 1000)}));
  fixture.Report("w1", {Fixture::Running(again.order.key)});
  BOOST_TEST(Starts(fixture.Round()).empty());
  fixture.Advance(absl::Seconds(1));
  fixture.Report("w1", {Fixture::Running(again.order.key, 100)});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
}

// Guards against a suspected task that never starts because long-running tasks of other jobs occupy
// a part of every worker, and against one that cannot be given up there.
BOOST_AUTO_TEST_CASE(SuspectStartsBesideLongRunningTasksIfNoWorkerIsEmpty) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w0", 2000), Fixture::Worker("w1", 2000)});
  StepSpec lasting = Fixture::Step(2, 1000);
  lasting.long_running = true;
  lasting.max_per_worker = 1;
  fixture.AddJob(Fixture::Job("lasting", {lasting}, 2, /*priority=*/0));
  std::map<std::string, AttemptKey> running;
  for (const SentOrder& sent : Starts(fixture.Round())) {
    running[sent.worker.value()] = sent.order.key;
  }
  BOOST_REQUIRE_EQUAL(running.size(), 2U);
  for (int second = 0; second < 12; ++second) {
    fixture.Advance(absl::Seconds(1));
    for (const auto& [worker, key] : running) {
      fixture.Report(worker, {Fixture::Running(key, second)});
    }
  }
  fixture.AddJob(Fixture::Job("a", {Fixture::Step(1, 1000)}));
  const std::string first = Starts(fixture.Round()).at(0).worker.value();
  const std::string other = first == "w0" ? "w1" : "w0";
  fixture.Advance(absl::Milliseconds(10));
  fixture.Crash(first, "w2");
  fixture.Report(other, {Fixture::Running(running.at(other), 50)});
  // The long-running task takes the idle worker, so the suspect has to share the other one.
  const std::vector<SentOrder> again = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(again.size(), 2U);
  BOOST_TEST(again[0].worker.value() == "w2");
  BOOST_TEST(again[1].worker.value() == other);
  fixture.Advance(absl::Milliseconds(10));
  fixture.Crash(other, "w3");
  fixture.CommitAll();
  BOOST_TEST((fixture.State("a") == CellJobState::kFailed));
  BOOST_TEST((fixture.State("lasting") == CellJobState::kRunning));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
