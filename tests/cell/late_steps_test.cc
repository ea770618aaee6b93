#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/cell/advised_fixture.h"

namespace pomelotray {
namespace {

// Load: after a takeover, hundreds of tasks of late jobs wait in a pool with free capacity, while
// urgent jobs keep arriving.
class LateBacklog : public AdvisedFixture {
 public:
  static constexpr int kWorkers = 200;

  explicit LateBacklog(int late_tasks = 2 * kWorkers) {
    std::vector<WorkerDescription> workers;
    workers.reserve(kWorkers);
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(Worker("w" + std::to_string(i), 3000));
    }
    AddWorkers(workers);
    AddJob(Job("late", {Step(late_tasks, 1000)}));
    // The latency objective of the job is 3 s.
    Advance(absl::Seconds(4));
  }

  void AddFreshJob(const std::string& id, int tasks) {
    JobIntake fresh = Job(id, {Step(tasks, 1000)});
    fresh.accepted = Now();
    AddJob(std::move(fresh));
  }
  void AddFreshAdvisedJobs(const std::string& prefix, int count) {
    for (int i = 0; i < count; ++i) {
      AddAdvisedJob(prefix + std::to_string(i), Step(1, 1000), absl::Milliseconds(15), Now());
    }
  }
  // Runs a round whose starts the workers have not answered yet. Returns how many of them belong to
  // the job.
  size_t RoundStarts(const std::string& id) {
    unanswered_ = Starts(Round(/*confirm=*/false));
    return static_cast<size_t>(std::count_if(
        unanswered_.begin(), unanswered_.end(),
        [&id](const SentOrder& start) { return start.order.key.task.rfind(id + ".", 0) == 0; }));
  }
  // Accepts the starts of the last round.
  void AnswerStarts() {
    for (const SentOrder& start : unanswered_) {
      scheduler().StartFinished(start.worker, start.order.key,
                                OrderOutcome{OrderAnswer::kAccepted, false}, Now());
    }
  }

 private:
  std::vector<SentOrder> unanswered_;
};

BOOST_AUTO_TEST_SUITE(LateStepsTest)

// Guards against head-of-line blocking at the owner: the starts of a late backlog queue before
// those of jobs that can still meet their objective, which become late as well.
BOOST_AUTO_TEST_CASE(LateBacklogDoesNotDelayStartsOfFreshJobs) {
  LateBacklog fixture;
  BOOST_TEST(fixture.RoundStarts("late") <= 64U);
  fixture.AddFreshJob("fresh", 30);
  const size_t fresh = fixture.RoundStarts("fresh");
  BOOST_TEST(fresh == 30U);
  BOOST_TEST(fixture.RoundStarts("late") < 10U);
}

// Guards against starvation of late jobs while the owner stays behind, and against a limit that
// stays after the workers have answered.
BOOST_AUTO_TEST_CASE(LateBacklogGetsSomeStartsWhileTheOwnerIsBehind) {
  LateBacklog fixture;
  const size_t first = fixture.RoundStarts("late");
  fixture.AnswerStarts();
  BOOST_TEST(fixture.RoundStarts("late") == first);
  fixture.AddFreshJob("fresh", 100);
  fixture.RoundStarts("fresh");
  BOOST_TEST(fixture.RoundStarts("late") > 0U);
}

// Guards against questions of a late backlog to the adviser that use up the owner's processor time
// and the adviser's.
BOOST_AUTO_TEST_CASE(LateBacklogAsksFewQuestionsAtATime) {
  LateBacklog fixture(/*late_tasks=*/40);
  BOOST_REQUIRE_EQUAL(fixture.RoundStarts("late"), 40U);
  for (int i = 0; i < 100; ++i) {
    fixture.AddAdvisedJob("old" + std::to_string(i), SchedulerFixture::Step(1, 1000));
  }
  const size_t first = fixture.scheduler().Schedule(fixture.Now()).advice.size();
  BOOST_TEST(first > 0U);
  BOOST_TEST(first <= 16U);
  BOOST_TEST(fixture.scheduler().Schedule(fixture.Now()).advice.empty());
  fixture.AddFreshAdvisedJobs("new", 30);
  BOOST_TEST(fixture.scheduler().Schedule(fixture.Now()).advice.size() == 30U);
}

// Guards against a late gang that loses the workers reserved for it because it yields to others.
BOOST_AUTO_TEST_CASE(LateGangDoesNotYield) {
  LateBacklog fixture;
  fixture.RoundStarts("late");
  StepSpec gang = SchedulerFixture::Step(90, 1000);
  gang.gang = true;
  fixture.AddJob(SchedulerFixture::Job("gang", {gang}));
  BOOST_TEST(fixture.RoundStarts("gang") == 90U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
