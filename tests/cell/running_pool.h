#ifndef POMELOTRAY_TESTS_CELL_RUNNING_POOL_H_
#define POMELOTRAY_TESTS_CELL_RUNNING_POOL_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {

// A job with one long-running step.
inline JobIntake LongRunningJob(const std::string& id, int tasks, int64_t cpu) {
  StepSpec step = SchedulerFixture::Step(tasks, cpu);
  step.long_running = true;
  step.estimate = absl::Milliseconds(400);
  return SchedulerFixture::Job(id, {step});
}

inline bool IsOfJob(const AttemptKey& key, const std::string& job) {
  return key.task.rfind(job + ".", 0) == 0;
}

// A pool whose attempts run until the test ends them or crashes their worker.
class RunningPool {
 public:
  static constexpr absl::Duration kRoundInterval = absl::Milliseconds(100);

  // Only the first worker has the label.
  void AddWorkers(int count, int64_t cpu, const std::string& label = "") {
    std::vector<WorkerDescription> descriptions;
    for (int i = 0; i < count; ++i) {
      const std::string id = "w" + std::to_string(next_worker_++);
      descriptions.push_back(SchedulerFixture::Worker(id, cpu));
      if (i == 0) {
        descriptions.back().labels = {label};
      }
      running_[id];
    }
    fixture_.AddWorkers(descriptions);
  }

  SchedulerFixture& fixture() { return fixture_; }
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
      attempts.push_back(SchedulerFixture::Running(key, ++percent_ % 100));
    }
    return attempts;
  }

  SchedulerFixture fixture_;
  int next_worker_ = 0;
  int percent_ = 0;
  std::map<std::string, std::vector<AttemptKey>> running_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_RUNNING_POOL_H_
