#include "cell/advice_lanes.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace pomelotray {
namespace {

std::vector<InstanceId> Members(int count) {
  std::vector<InstanceId> members;
  members.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.emplace_back("i" + std::to_string(i));
  }
  return members;
}

AdviceLanes Lanes(int members, const std::string& self = "i0") {
  AdviceLanes lanes{InstanceId(self)};
  lanes.SetMembers(Members(members));
  return lanes;
}

int TakeAll(AdviceLanes* lanes, QuestionLength length) {
  int taken = 0;
  while (lanes->Take(length).has_value()) {
    ++taken;
  }
  return taken;
}

BOOST_AUTO_TEST_SUITE(AdviceLanesTest)

// Guards against head-of-line blocking: no number of long questions takes the lanes of short ones.
BOOST_AUTO_TEST_CASE(LongQuestionsLeaveAQuarterOfTheInstances) {
  AdviceLanes lanes = Lanes(8);
  BOOST_TEST(TakeAll(&lanes, QuestionLength::kLong) == 6);
  BOOST_TEST(TakeAll(&lanes, QuestionLength::kShort) == 4);
}

// Load: 5 steps a second whose questions take 620 ms and are put again four times, and 11 steps
// with questions of 190 ms, at 36 instances: 22 calls on their way at any time. With half of the
// instances, the less urgent steps never got their turn (starvation at the adviser, tuul-tray-grown
// trouble-2: 17 s to the first answer).
BOOST_AUTO_TEST_CASE(LongQuestionsOfABusyPoolFindLanes) {
  AdviceLanes lanes = Lanes(36);
  BOOST_TEST(TakeAll(&lanes, QuestionLength::kLong) >= 22);
}

// Load: 31 short questions a second of 25 ms, half as many renewals, and answers that travel for
// 16 ms, with five of eight instances left and long questions at all of theirs. With one call at a
// time for each of the two instances that take short ones (41 ms each), the questions queue
// without end; with a second lane the adviser always has one to work on.
BOOST_AUTO_TEST_CASE(ShortQuestionsFillTheRoundTrips) {
  AdviceLanes lanes = Lanes(5);
  BOOST_TEST(TakeAll(&lanes, QuestionLength::kLong) == 3);
  BOOST_TEST(TakeAll(&lanes, QuestionLength::kShort) == 4);
}

// Guards against a detour: an instance is asked twice at once only when no other is free.
BOOST_AUTO_TEST_CASE(FreeInstancesComeBeforeSecondLanes) {
  AdviceLanes lanes = Lanes(16);
  std::set<std::string> members;
  for (int i = 0; i < 4; ++i) {
    const AdviceLane lane = *lanes.Take(QuestionLength::kShort);
    BOOST_TEST(lane.slot == 0U);
    members.insert(lane.member.value());
  }
  BOOST_TEST(members.size() == 4U);
}

// Guards against idle instances: short questions take those that no long question needs, but only
// when their own are busy.
BOOST_AUTO_TEST_CASE(ShortQuestionsTakeSpareInstancesLast) {
  AdviceLanes lanes = Lanes(2);
  BOOST_TEST(lanes.Take(QuestionLength::kShort)->member.value() == "i1");
  BOOST_TEST(lanes.Take(QuestionLength::kShort)->member.value() == "i1");
  BOOST_TEST(lanes.Take(QuestionLength::kShort)->member.value() == "i0");
  BOOST_TEST(!lanes.Take(QuestionLength::kShort).has_value());
}

// Guards against no lane for short questions when one instance is left.
BOOST_AUTO_TEST_CASE(LastInstanceTakesBoth) {
  AdviceLanes lanes = Lanes(1);
  BOOST_TEST(lanes.Take(QuestionLength::kLong).has_value());
  BOOST_TEST(lanes.Take(QuestionLength::kShort).has_value());
}

// Guards against a lane that stays taken, and against one that a former member's call frees.
BOOST_AUTO_TEST_CASE(ReleasedLanesAreUsedAgain) {
  AdviceLanes lanes = Lanes(1);
  const AdviceLane lane = *lanes.Take(QuestionLength::kLong);
  BOOST_TEST(!lanes.Take(QuestionLength::kLong).has_value());
  lanes.Release(lane);
  BOOST_TEST(lanes.Take(QuestionLength::kLong).has_value());
  lanes.SetMembers({});
  lanes.Release(lane);
  BOOST_TEST(!lanes.Take(QuestionLength::kLong).has_value());
}

// Guards against a herd: the first short questions of different owners go to different instances.
BOOST_AUTO_TEST_CASE(OwnersBeginAtDifferentInstances) {
  std::set<std::string> first;
  for (int owner = 0; owner < 8; ++owner) {
    AdviceLanes lanes = Lanes(8, "i" + std::to_string(owner));
    first.insert(lanes.Take(QuestionLength::kShort)->member.value());
  }
  BOOST_TEST(first.size() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
