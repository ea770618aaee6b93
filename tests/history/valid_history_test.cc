#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "history/history_checker.h"
#include "tests/history/history_fixture.h"
#include "tests/pick.h"

namespace pomelotray {
namespace {

constexpr int kWorkers = 3;
// HistoryFixture gives each worker 4 cores, and each task uses 2.
constexpr int kTasksPerWorker = 2;

// Records the events of a simulated scheduler that makes random decisions and violates no rule.
class ValidHistoryGenerator {
 public:
  HistoryFixture Generate(int steps) {
    while (steps-- > 0) {
      now_ += Pick<int64_t>(1, 50);
      switch (Pick(0, 4)) {
        case 0:
          Submit();
          break;
        case 1:
          StartOne();
          break;
        case 2:
          EndOne();
          break;
        default:
          history_.InForce(now_, "i1", ++revision_);
          break;
      }
    }
    Finish();
    return history_;
  }

 private:
  struct Job {
    std::string id;
    bool repeatable;
    int attempts = 0;
  };
  struct Run {
    Job job;
    std::string attempt;
    int worker;
  };

  void Submit() {
    Job job{"j" + std::to_string(next_job_++), (Pick(0, 2) == 1)};
    if (Pick(0, 4) == 0) {
      history_.Refuse(now_, job.id);
      return;
    }
    history_.Accept(now_, job.id);
    queue_.push_back(job);
  }

  void StartOne() {
    const int worker = Pick(0, kWorkers);
    const int64_t used = std::count_if(running_.begin(), running_.end(),
                                       [worker](const Run& run) { return run.worker == worker; });
    if (queue_.empty() || used >= kTasksPerWorker) {
      return;
    }
    Job job = queue_.back();
    queue_.pop_back();
    const std::string attempt = job.id + "/0#" + std::to_string(++job.attempts);
    history_.Start(now_, WorkerName(worker), attempt, job.repeatable, 2);
    running_.push_back(Run{job, attempt, worker});
  }

  void EndOne() {
    if (running_.empty()) {
      return;
    }
    const Run run = running_.back();
    running_.pop_back();
    history_.End(now_, WorkerName(run.worker), run.attempt);
    // A repeatable task may run again immediately, also on another worker.
    if (run.job.repeatable && (Pick(0, 2) == 1)) {
      queue_.push_back(run.job);
    } else {
      history_.Finish(now_, run.job.id, "succeeded");
    }
  }

  void Finish() {
    for (const Run& run : running_) {
      history_.End(++now_, WorkerName(run.worker), run.attempt);
      history_.Finish(now_, run.job.id, "unknown");
    }
    for (const Job& job : queue_) {
      history_.Finish(++now_, job.id, job.attempts == 0 ? "expired" : "cancelled");
    }
  }

  static std::string WorkerName(int worker) { return "w" + std::to_string(worker); }

  HistoryFixture history_;
  int64_t now_ = 0;
  int64_t revision_ = 0;
  int next_job_ = 0;
  std::vector<Job> queue_;
  std::vector<Run> running_;
};

HistoryChecker::Builder WithCapOfAllWorkers() {
  Resources hold;
  hold.cpu = MilliCores(kWorkers * 4000);
  return HistoryChecker::Builder().AddCap(
      CapInForce{CustomerId("market"), HistoryFixture::TimeOf(0), hold});
}

BOOST_AUTO_TEST_SUITE(ValidHistoryTest)

// Guards against violations that are reported for correct histories, independent of the order in
// which the events are read.
BOOST_AUTO_TEST_CASE(CorrectHistoriesPassInAnyOrder) {
  BOOST_TEST(rc::check([] {
    const HistoryFixture history = ValidHistoryGenerator().Generate(Pick(1, 80));
    std::vector<Event> events = history.events();
    for (size_t i = events.size(); i > 1; --i) {
      std::swap(events[i - 1], events[Pick<size_t>(0, i)]);
    }
    const HistoryReport report = WithCapOfAllWorkers().Build().Check(events);
    RC_ASSERT(report.violations.empty());
    RC_ASSERT(report.inconclusive.empty());
  }));
}

// Guards against a checker that accepts every history: it must report a start that is duplicated on
// another worker while the first run goes on.
BOOST_AUTO_TEST_CASE(DuplicatedStartsAreReported) {
  BOOST_TEST(rc::check([] {
    HistoryFixture history = ValidHistoryGenerator().Generate(Pick(20, 80));
    std::vector<Event> starts;
    for (const Event& event : history.events()) {
      if (event.code == EventCode::kTaskStarted) {
        starts.push_back(event);
      }
    }
    RC_PRE(!starts.empty());
    Event duplicate = *rc::gen::elementOf(starts);
    duplicate.process = "other";
    duplicate.fields["worker"] = "other";
    duplicate.time += HybridTime(1);
    std::vector<Event> events = history.events();
    events.push_back(duplicate);
    const HistoryReport report = HistoryChecker::Builder().Build().Check(events);
    const bool found = std::any_of(report.violations.begin(), report.violations.end(),
                                   [](const Violation& violation) {
                                     return violation.rule == HistoryRule::kTwoPlaces ||
                                            violation.rule == HistoryRule::kStartedTwice;
                                   });
    RC_ASSERT(found);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
