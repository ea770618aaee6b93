#include <rapidcheck.h>

#include "boost/test/unit_test.hpp"
#include "tests/scheduler/scheduler_model.h"

namespace rc {
template <>
struct Arbitrary<pomelotray::Step> {
  static Gen<pomelotray::Step> arbitrary() {
    return gen::build<pomelotray::Step>(gen::set(&pomelotray::Step::call),
                                        gen::set(&pomelotray::Step::first),
                                        gen::set(&pomelotray::Step::second));
  }
};
}  // namespace rc

namespace pomelotray {

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.call) << ", " << static_cast<int>(step.first) << ", "
             << static_cast<int>(step.second) << "}";
}

namespace {

BOOST_AUTO_TEST_SUITE(SchedulerPropertyTest)

// Guards against lost or duplicated tasks, workers above their capacity, customers above their
// limit, partly placed gangs and forbidden preemptions, for random sequences of calls.
BOOST_AUTO_TEST_CASE(InvariantsHoldInAnyOrderOfCalls) {
  BOOST_TEST(rc::check("invariants hold in any order of calls", [] {
    // Draining and preemption occur only in a full pool, which takes a long sequence to reach.
    const std::vector<Step> steps = *rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<Step>>());
    SchedulerModel model;
    model.Run(steps);
  }));
}

// Guards against queued tasks that are lost or blocked forever by leftover reservations.
BOOST_AUTO_TEST_CASE(AllQueuedWorkStartsOnceThereIsRoom) {
  BOOST_TEST(rc::check("all queued work starts once there is room", [] {
    const std::vector<Step> steps = *rc::gen::scale(2.0, rc::gen::arbitrary<std::vector<Step>>());
    SchedulerModel model;
    model.Run(steps);
    model.CheckAllTasksEnd();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
