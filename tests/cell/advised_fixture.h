#ifndef POMELOTRAY_TESTS_CELL_ADVISED_FIXTURE_H_
#define POMELOTRAY_TESTS_CELL_ADVISED_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {

// Adds jobs that need tickets from the adviser, and answers its questions.
class AdvisedFixture : public SchedulerFixture {
 public:
  void AddAdvisedJob(const std::string& id, const StepSpec& step,
                     absl::Duration base_cost = absl::Milliseconds(15),
                     absl::Time accepted = ManualClock().Now()) {
    JobIntake job = Job(id, {step});
    job.accepted = accepted;
    job.policy.advice = AdvicePolicy{base_cost, absl::Milliseconds(1), absl::Seconds(2)};
    AddJob(std::move(job));
  }
  // Runs a round, checks that it sends `count` questions to the adviser, and returns the last one.
  AdviceRequest RunAdviceRound(size_t count) {
    const ScheduledOrders scheduled = scheduler().Schedule(Now());
    BOOST_REQUIRE_EQUAL(scheduled.advice.size(), count);
    return count > 0 ? scheduled.advice.back() : AdviceRequest();
  }
  void AnswerQuestion(const AdviceRequest& request, const std::vector<std::string>& allowed,
                      absl::Duration age = absl::ZeroDuration()) {
    Advice advice;
    advice.validity = absl::Seconds(2);
    advice.decided_after = Now() - age;
    for (const std::string& worker : allowed) {
      advice.tickets[WorkerId(worker)] = "ticket";
    }
    scheduler().AdviceFinished(request, advice, Now());
  }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_ADVISED_FIXTURE_H_
