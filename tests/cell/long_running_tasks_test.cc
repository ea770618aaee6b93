#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// A long-running task that has lost its worker must run again within this time if workers have
// capacity for it.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);
constexpr absl::Duration kRoundInterval = absl::Milliseconds(100);

JobIntake LongRunningJob(const std::string& id, int tasks, int64_t cpu) {
  StepSpec step = Fixture::Step(tasks, cpu);
  step.long_running = true;
  step.estimate = absl::Milliseconds(400);
  return Fixture::Job(id, {step});
}

bool IsOfJob(const AttemptKey& key, const std::string& job) {
  return key.task.rfind(job + ".", 0) == 0;
}

// A pool whose attempts run until the test ends them or crashes their worker.
class RunningPool {
 public:
  void AddWorkers(int count, int64_t cpu) {
    std::vector<WorkerDescription> descriptions;
    for (int i = 0; i < count; ++i) {
      const std::string id = "w" + std::to_string(next_worker_++);
      descriptions.push_back(Fixture::Worker(id, cpu));
      running_[id];
    }
    fixture_.AddWorkers(descriptions);
  }

  Fixture& fixture() { return fixture_; }
  void Add(JobIntake job) {
    job.accepted = fixture_.Now();
    fixture_.AddJob(std::move(job));
  }
  std::map<std::string, std::vector<AttemptKey>>& running() { return running_; }

  // Reports all attempts and runs one round. Returns the attempts that it started.
  std::vector<SentOrder> Step() {
    fixture_.Advance(kRoundInterval);
    for (const auto& [worker, keys] : running_) {
      fixture_.Report(worker, Running(keys));
    }
    std::vector<SentOrder> started = Starts(fixture_.Round());
    for (const SentOrder& sent : started) {
      running_[sent.worker.value()].push_back(sent.order.key);
    }
    fixture_.CommitAll();
    return started;
  }

  void Run(absl::Duration duration) {
    const absl::Time end = fixture_.Now() + duration;
    while (fixture_.Now() < end) {
      Step();
    }
  }

  int CountRunning(const std::string& job) const {
    int count = 0;
    for (const auto& [worker, keys] : running_) {
      count += static_cast<int>(std::count_if(
          keys.begin(), keys.end(), [&job](const AttemptKey& key) { return IsOfJob(key, job); }));
    }
    return count;
  }

  // Returns a worker that runs an attempt of the job.
  std::string WorkerOf(const std::string& job) const {
    for (const auto& [worker, keys] : running_) {
      if (std::any_of(keys.begin(), keys.end(),
                      [&job](const AttemptKey& key) { return IsOfJob(key, job); })) {
        return worker;
      }
    }
    return "";
  }

  // Crashes the worker; its next process has another id.
  void Crash(const std::string& worker) {
    running_.erase(worker);
    const std::string next = "w" + std::to_string(next_worker_++);
    fixture_.Crash(worker, next);
    running_[next];
  }

  // Ends one attempt of the job on the worker.
  void End(const std::string& worker, const std::string& job, AttemptEnd end) {
    std::vector<AttemptKey>& keys = running_.at(worker);
    const auto ended = std::find_if(keys.begin(), keys.end(),
                                    [&job](const AttemptKey& key) { return IsOfJob(key, job); });
    BOOST_REQUIRE(ended != keys.end());
    const AttemptKey key = *ended;
    keys.erase(ended);
    fixture_.Report(worker, Running(keys), {{key, end}});
  }

 private:
  std::vector<RunningAttempt> Running(const std::vector<AttemptKey>& keys) {
    std::vector<RunningAttempt> attempts;
    attempts.reserve(keys.size());
    for (const AttemptKey& key : keys) {
      attempts.push_back(Fixture::Running(key, ++percent_ % 100));
    }
    return attempts;
  }

  Fixture fixture_;
  int next_worker_ = 0;
  int percent_ = 0;
  std::map<std::string, std::vector<AttemptKey>> running_;
};

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
