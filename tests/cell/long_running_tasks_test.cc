#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/cell/running_pool.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// A long-running task that has lost its worker must run again within this time if workers have
// capacity for it.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);

BOOST_AUTO_TEST_SUITE(LongRunningTasksTest)

// Guards against starvation of a long-running task that has to be restarted in a full pool: its job
// is older than three times its objective, but it has value for as long as it runs.
BOOST_AUTO_TEST_CASE(LostTaskStartsBeforeNewerJobsOfItsPriority) {
  RunningPool pool;
  pool.AddWorkers(4, 1000);
  pool.Add(LongRunningJob("watch", 1, 1000));
  pool.Run(absl::Seconds(30));
  BOOST_REQUIRE_EQUAL(pool.CountRunning("watch"), 1);
  pool.Add(Fixture::Job("batch", {Fixture::Step(200, 1000)}));
  pool.Step();
  pool.Crash(pool.WorkerOf("watch"));
  pool.Step();
  for (int i = 0; i < 5 && pool.CountRunning("watch") == 0; ++i) {
    pool.End(pool.WorkerOf("batch"), "batch", AttemptEnd::kSucceeded);
    pool.Step();
  }
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against a long-running task that waits although there is capacity for it, because all of
// that capacity is reserved for a large task that still waits for more.
BOOST_AUTO_TEST_CASE(LostTaskStartsOnAReservedWorkerIfNoOtherHasCapacity) {
  RunningPool pool;
  pool.AddWorkers(3, 8000);
  pool.Add(LongRunningJob("watch", 1, 1000));
  pool.Run(absl::Seconds(20));
  const std::string first = pool.WorkerOf("watch");
  pool.Add(Fixture::Job("fill", {Fixture::Step(23, 1000)}, 2, /*priority=*/0));
  pool.Step();
  BOOST_REQUIRE_EQUAL(pool.CountRunning("fill"), 23);
  // The least loaded worker is reserved for a task that needs all of it.
  const std::string reserved = first == "w1" ? "w2" : "w1";
  for (int i = 0; i < 4; ++i) {
    pool.End(reserved, "fill", AttemptEnd::kSucceeded);
  }
  pool.Add(Fixture::Job("large", {Fixture::Step(1, 8000)}, 2, /*priority=*/0));
  pool.Step();
  // Another task takes the capacity that the failed long-running one leaves.
  pool.Add(Fixture::Job("next", {Fixture::Step(1, 1000)}, 2, /*priority=*/0));
  pool.End(first, "watch", AttemptEnd::kFailed);
  pool.Run(kMaxRestartDelay);
  BOOST_TEST(pool.CountRunning("next") == 1);
  BOOST_TEST(pool.CountRunning("large") == 0);
  BOOST_TEST(pool.WorkerOf("watch") == reserved);
}

// Guards against long-running tasks that wait for a worker of their own after a wave of crashes:
// more of them are suspected than workers may be isolated, while the other workers have capacity.
BOOST_AUTO_TEST_CASE(ManySuspectedTasksStartWhileWorkersHaveCapacity) {
  constexpr int kJobs = 12;
  RunningPool pool;
  pool.AddWorkers(6, 8000);
  for (int i = 0; i < kJobs; ++i) {
    pool.Add(LongRunningJob("watch" + std::to_string(i), 1, 1000));
  }
  pool.Run(absl::Milliseconds(500));
  std::vector<std::string> crashed;
  for (const auto& [worker, keys] : pool.running()) {
    if (!keys.empty()) {
      crashed.push_back(worker);
    }
  }
  for (const std::string& worker : crashed) {
    pool.Crash(worker);
  }
  pool.Run(kMaxRestartDelay);
  for (int i = 0; i < kJobs; ++i) {
    BOOST_TEST(pool.CountRunning("watch" + std::to_string(i)) == 1);
  }
}

// Guards against questions to the adviser about a worker that it does not allow any more: the step
// would ask about it again instead of using another worker.
BOOST_AUTO_TEST_CASE(WorkerWithoutRenewedTicketIsNotNamedAgain) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("removed", 1000), Fixture::Worker("usable", 4000)});
  JobIntake job = LongRunningJob("watch", 1, 1000);
  // The questions are so short that they renew only the ticket that is needed.
  job.policy.advice = AdvicePolicy{absl::Milliseconds(1), absl::Milliseconds(1), absl::Seconds(2)};
  fixture.AddJob(std::move(job));
  // Runs a round, answers its question and returns the workers on which it starts tasks.
  const auto run_round = [&fixture](const std::vector<std::string>& allowed) {
    const ScheduledOrders round = fixture.scheduler().Schedule(fixture.Now());
    for (const AdviceRequest& asked : round.advice) {
      Advice advice;
      advice.validity = absl::Seconds(2);
      for (const WorkerId& worker : asked.question.workers) {
        if (std::find(allowed.begin(), allowed.end(), worker.value()) != allowed.end()) {
          advice.tickets[worker] = "ticket";
        }
      }
      fixture.scheduler().AdviceFinished(asked, advice, fixture.Now());
    }
    std::vector<std::string> started;
    for (const auto& [worker, order] : round.orders) {
      started.push_back(worker.value());
    }
    return started;
  };
  BOOST_TEST(run_round({"removed", "usable"}).empty());
  fixture.Advance(absl::Seconds(3));
  fixture.Report("removed", {});
  fixture.Report("usable", {});
  std::vector<std::string> started;
  for (int round = 0; round < 5 && started.empty(); ++round) {
    started = run_round({"usable"});
  }
  BOOST_TEST(started == std::vector<std::string>{"usable"}, boost::test_tools::per_element());
}

// Guards against the quarantine of a sound worker on which long-running tasks fail once in a while:
// they never succeed, so nothing else would reset its count of failures.
BOOST_AUTO_TEST_CASE(FailuresOfTasksThatWereAtWorkDoNotAddUp) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w", 4000)});
  const std::vector<std::string> jobs = {"a", "b", "c", "d"};
  for (const std::string& id : jobs) {
    fixture.AddJob(LongRunningJob(id, 1, 1000));
  }
  std::vector<AttemptKey> running;
  for (const SentOrder& sent : Starts(fixture.Round())) {
    running.push_back(sent.order.key);
  }
  BOOST_REQUIRE_EQUAL(running.size(), jobs.size());
  const auto report = [&](const std::vector<std::pair<AttemptKey, AttemptEnd>>& ended) {
    std::vector<RunningAttempt> attempts;
    attempts.reserve(running.size());
    for (const AttemptKey& key : running) {
      attempts.push_back(Fixture::Running(key, 100));
    }
    fixture.Report("w", attempts, ended);
  };
  report({});
  for (size_t failures = 0; failures < jobs.size(); ++failures) {
    const AttemptKey failed = running.front();
    running.erase(running.begin());
    report({{failed, AttemptEnd::kFailed}});
    const std::vector<SentOrder> restarted = Starts(fixture.Round());
    BOOST_REQUIRE_EQUAL(restarted.size(), 1U);
    running.push_back(restarted[0].order.key);
    report({});
  }
  BOOST_TEST(fixture.Events(EventCode::kWorkerQuarantined).empty());
}

// Guards against new long-running tasks that take the capacity reserved for a large task of a
// higher priority, one after the other.
BOOST_AUTO_TEST_CASE(NewTasksLeaveReservedWorkersToLargeTasks) {
  RunningPool pool;
  pool.AddWorkers(1, 4000);
  pool.Add(Fixture::Job("fill", {Fixture::Step(4, 1000)}, 2, /*priority=*/0));
  pool.Step();
  pool.Add(Fixture::Job("large", {Fixture::Step(1, 4000)}, 2, /*priority=*/0));
  for (int i = 0; i < 4; ++i) {
    pool.Add(LongRunningJob("watch" + std::to_string(i), 1, 1000));
    pool.Step();
    pool.End("w0", "fill", AttemptEnd::kSucceeded);
    pool.Step();
  }
  BOOST_TEST(pool.CountRunning("large") == 1);
}

// Guards against a restart that waits for as long as the objective of its job allows, because the
// step leaves headroom for more urgent jobs.
BOOST_AUTO_TEST_CASE(LostTaskLeavesNoHeadroom) {
  RunningPool pool;
  pool.AddWorkers(10, 1000);
  JobIntake watch = LongRunningJob("watch", 1, 1000);
  watch.policy.target_latency = absl::Seconds(60);
  pool.Add(std::move(watch));
  pool.Run(absl::Seconds(1));
  pool.Add(Fixture::Job("urgent", {Fixture::Step(8, 1000)}, 2, /*priority=*/0));
  pool.Step();
  pool.Crash(pool.WorkerOf("watch"));
  pool.Run(kMaxRestartDelay);
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against a suspected task that waits beside an empty worker because other workers are
// reserved for large tasks.
BOOST_AUTO_TEST_CASE(SuspectStartsOnAnEmptyWorkerWhileOthersAreReserved) {
  RunningPool pool;
  pool.AddWorkers(4, 4000, /*label=*/"x");
  pool.Add(LongRunningJob("watch", 1, 1000));
  pool.Step();
  // A crash right after the start makes the task suspected.
  pool.Crash(pool.WorkerOf("watch"));
  for (const int64_t cpu : {3000, 4000}) {
    JobIntake job =
        Fixture::Job("job" + std::to_string(cpu), {Fixture::Step(1, cpu)}, 2, /*priority=*/0);
    job.spec.steps[0].required_label = "x";
    pool.Add(std::move(job));
  }
  pool.Run(kMaxRestartDelay);
  BOOST_TEST(pool.CountRunning("job4000") == 0);
  BOOST_TEST(pool.CountRunning("watch") == 1);
}

// Guards against an attempt that runs on, and occupies its worker, because the worker confirmed the
// stop order but did not carry it out.
BOOST_AUTO_TEST_CASE(ConfirmedStopIsSentAgainWhileTheAttemptRuns) {
  Fixture fixture;
  fixture.AddWorkers({Fixture::Worker("w", 1000)});
  fixture.AddJob(LongRunningJob("watch", 1, 1000));
  const std::vector<SentOrder> started = Starts(fixture.Round());
  BOOST_REQUIRE_EQUAL(started.size(), 1U);
  fixture.Report("w", {Fixture::Running(started[0].order.key, 100)});
  fixture.scheduler().CancelJob(JobId("watch"), fixture.Now());
  BOOST_REQUIRE_EQUAL(Stops(fixture.Round()).size(), 1U);
  size_t stops = 0;
  for (int i = 0; i < 70; ++i) {
    fixture.Advance(absl::Milliseconds(100));
    fixture.Report("w", {Fixture::Running(started[0].order.key, 100)});
    stops += Stops(fixture.Round()).size();
  }
  BOOST_TEST(stops == 1U);
}

// Guards against a long-running task that is not started again, and whose job is shown as
// completed, after an end that is no failure. Every kind of end is followed by a restart.
BOOST_AUTO_TEST_CASE(TasksAreRestartedHoweverTheyEnd) {
  for (const AttemptEnd end :
       {AttemptEnd::kSucceeded, AttemptEnd::kFailed, AttemptEnd::kStopped,
        AttemptEnd::kLeaseExpired, AttemptEnd::kGangBroken, AttemptEnd::kGangIncomplete}) {
    RunningPool pool;
    pool.AddWorkers(3, 1000);
    pool.Add(LongRunningJob("a", 2, 1000));
    pool.Run(kMaxRestartDelay);
    BOOST_REQUIRE_EQUAL(pool.CountRunning("a"), 2);
    pool.End(pool.WorkerOf("a"), "a", end);
    pool.Run(kMaxRestartDelay);
    BOOST_TEST(pool.CountRunning("a") == 2);
    BOOST_TEST((pool.fixture().State("a") == CellJobState::kRunning));
  }
}

// Guards against the same after a takeover: the end waits at the worker and is read by the next
// owner, or an earlier version has stored that the task succeeded.
BOOST_AUTO_TEST_CASE(NextOwnerRestartsTasksThatEnded) {
  Fixture fixture;
  const std::vector<WorkerDescription> workers = {Fixture::Worker("w1", 1000)};
  fixture.AddWorkers(workers);
  const JobIntake job = LongRunningJob("a", 1, 1000);
  fixture.AddJob(job);
  const AttemptKey key = Starts(fixture.Round()).at(0).order.key;
  fixture.TakeOver({job}, workers);
  fixture.scheduler().ConfirmRoster({WorkerId("w1")});
  fixture.Report("w1", {}, {{key, AttemptEnd::kSucceeded}});
  BOOST_TEST(Starts(fixture.Round()).size() == 1U);
  CellJob stored = MakeCellJob(job);
  const Outcome<void> applied = Capture([&stored] {
    return ApplyProgress(R"({"state":"running","runs":[{"run":0,"done":"1"}]})", &stored);
  });
  BOOST_TEST(applied.ok());
  BOOST_TEST((stored.runs[0].tasks[0].phase == TaskPhase::kWaiting));
}

// Guards against a rapid series of starts of a long-running task that ends at once each time, and
// against a job that cannot be cancelled meanwhile.
BOOST_AUTO_TEST_CASE(TaskThatEndsAtOnceIsRestartedMoreAndMoreRarely) {
  constexpr absl::Duration kObserved = absl::Seconds(20);
  constexpr int kMaxStarts = 15;
  RunningPool pool;
  pool.AddWorkers(2, 1000);
  pool.Add(LongRunningJob("a", 1, 1000));
  int starts = 0;
  absl::Time last_start = pool.fixture().Now();
  const absl::Time observed_until = pool.fixture().Now() + kObserved;
  while (pool.fixture().Now() < observed_until) {
    for (const SentOrder& sent : pool.Step()) {
      ++starts;
      last_start = pool.fixture().Now();
      pool.End(sent.worker.value(), "a", AttemptEnd::kSucceeded);
    }
    BOOST_TEST(pool.fixture().Now() - last_start <= kMaxRestartDelay);
  }
  BOOST_TEST(starts <= kMaxStarts);
  pool.fixture().scheduler().CancelJob(JobId("a"), pool.fixture().Now());
  BOOST_TEST(pool.Step().empty());
  BOOST_TEST((pool.fixture().State("a") == CellJobState::kCancelled));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
