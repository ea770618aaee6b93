#include "cell/advice/advice_dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

#include "absl/synchronization/mutex.h"
#include "base/event_log.h"
#include "base/manual_clock.h"
#include "base/system_clock.h"
#include "tests/cell/eventually.h"

namespace pomelotray {
namespace {

// An adviser that blocks every call until Open() is called.
class BlockingAdviser : public Adviser {
 public:
  Result<Advice> RequestAdvice(const AdviceQuestion& question, absl::Duration timeout) override {
    absl::MutexLock lock(&mutex_);
    longest_timeout_ = std::max(longest_timeout_, timeout);
    asked_.insert(question.step);
    mutex_.Await(absl::Condition(&open_));
    return Advice{};
  }
  void Open() {
    absl::MutexLock lock(&mutex_);
    open_ = true;
  }
  void AwaitAsked(size_t count) {
    absl::MutexLock lock(&mutex_);
    while (asked_.size() < count) {
      mutex_.Unlock();
      SystemClock().SleepFor(absl::Milliseconds(1));
      mutex_.Lock();
    }
  }
  absl::Duration longest_timeout() {
    absl::MutexLock lock(&mutex_);
    return longest_timeout_;
  }
  std::set<std::string> asked() {
    absl::MutexLock lock(&mutex_);
    return asked_;
  }

 private:
  absl::Mutex mutex_;
  bool open_ = false;
  absl::Duration longest_timeout_;
  std::set<std::string> asked_;
};

// An adviser whose calls take `duration` on a manual clock.
class SlowAdviser : public Adviser {
 public:
  SlowAdviser(ManualClock* clock, absl::Duration duration) : clock_(clock), duration_(duration) {}
  Result<Advice> RequestAdvice(const AdviceQuestion&, absl::Duration) override {
    clock_->Advance(duration_);
    return Advice{};
  }

 private:
  ManualClock* const clock_;
  const absl::Duration duration_;
};

// Forwards the calls to any instance directly to one adviser.
class LoopbackPeers : public PeerPort {
 public:
  explicit LoopbackPeers(Adviser* adviser) : adviser_(adviser) {}
  Result<nlohmann::json> Call(const std::string&, const std::string&, const nlohmann::json& body,
                              absl::Duration timeout) override {
    AdviceQuestion question;
    question.step = body.at("step").get<std::string>();
    BOOST_LEAF_CHECK(adviser_->RequestAdvice(question, timeout));
    return nlohmann::json{{"tickets", nlohmann::json::object()}, {"validity_ms", 1000}};
  }

 private:
  Adviser* const adviser_;
};

AdviceRequest Question(const std::string& step, absl::Duration cost, int priority) {
  AdviceRequest request;
  request.step.job = JobId("job");
  request.question.step = step;
  request.cost = cost;
  request.priority = priority;
  return request;
}

BOOST_AUTO_TEST_SUITE(AdviceDispatcherTest)

// Guards against head-of-line blocking: a short question must be sent at once even if more long
// questions are queued than there are instances.
BOOST_AUTO_TEST_CASE(ShortQuestionsDoNotWaitBehindLongOnes) {
  SystemClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  BlockingAdviser adviser;
  LoopbackPeers peers(&adviser);
  AdviceDispatcher dispatcher(InstanceId("i1"), &adviser, &peers, &clock, &events);
  dispatcher.SetMembers(
      {{InstanceId("i1"), "a"}, {InstanceId("i2"), "b"}, {InstanceId("i3"), "c"}});
  const AdviceDispatcher::Done ignore = [](const AdviceRequest&, const std::optional<Advice>&) {};
  for (int i = 0; i < 10; ++i) {
    dispatcher.Submit(Question("long" + std::to_string(i), absl::Milliseconds(600), 1), ignore);
  }
  dispatcher.Submit(Question("short", absl::Milliseconds(20), 2), ignore);
  adviser.AwaitAsked(3);
  BOOST_TEST(adviser.asked().count("short") == 1U);
  BOOST_TEST(adviser.asked().size() == 3U);
  adviser.Open();
  dispatcher.Stop();
}

// Guards against idle round trips: while all instances that accept long questions are busy, a
// second short question must be sent to the remaining instance before the first one is answered.
BOOST_AUTO_TEST_CASE(ShortQuestionsAreSentAheadToTheSameInstance) {
  SystemClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  BlockingAdviser adviser;
  LoopbackPeers peers(&adviser);
  AdviceDispatcher dispatcher(InstanceId("i1"), &adviser, &peers, &clock, &events);
  dispatcher.SetMembers({{InstanceId("i1"), "a"}, {InstanceId("i2"), "b"}});
  const AdviceDispatcher::Done ignore = [](const AdviceRequest&, const std::optional<Advice>&) {};
  dispatcher.Submit(Question("long", absl::Milliseconds(600), 1), ignore);
  for (int i = 0; i < 3; ++i) {
    dispatcher.Submit(Question("short" + std::to_string(i), absl::Milliseconds(20), 1), ignore);
  }
  adviser.AwaitAsked(3);
  BOOST_TEST(adviser.asked().size() == 3U);
  adviser.Open();
  dispatcher.Stop();
}

// Guards against timeouts of calls that the adviser would have answered: the timeout must cover a
// question of the same length that another owner sent and that the adviser serves first.
BOOST_AUTO_TEST_CASE(TimeoutCoversALongQuestionOfAnotherOwner) {
  SystemClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  BlockingAdviser adviser;
  LoopbackPeers peers(&adviser);
  AdviceDispatcher dispatcher(InstanceId("i1"), &adviser, &peers, &clock, &events);
  dispatcher.SetMembers({{InstanceId("i1"), "a"}});
  const absl::Duration cost = absl::Milliseconds(1100);
  dispatcher.Submit(Question("long", cost, 1),
                    [](const AdviceRequest&, const std::optional<Advice>&) {});
  adviser.AwaitAsked(1);
  BOOST_TEST((adviser.longest_timeout() > cost * 2));
  adviser.Open();
  dispatcher.Stop();
}

// Guards against tickets that are used for too long: a call takes longer than the adviser needs if
// the question or its answer is delayed on the way, for example because this process is busy.
BOOST_AUTO_TEST_CASE(AdviceTellsWhenItWasDecidedAtTheEarliest) {
  ManualClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("test", &hybrid_clock);
  SlowAdviser adviser(&clock, absl::Milliseconds(350));
  AdviceDispatcher dispatcher(InstanceId("i1"), &adviser, nullptr, &clock, &events);
  dispatcher.SetMembers({{InstanceId("i1"), "a"}});
  absl::Mutex mutex;
  std::optional<absl::Time> decided_after;
  const absl::Time sent = clock.Now();
  dispatcher.Submit(Question("step", absl::Milliseconds(50), 1),
                    [&](const AdviceRequest&, const std::optional<Advice>& advice) {
                      absl::MutexLock lock(&mutex);
                      decided_after =
                          advice.has_value() ? advice->decided_after : absl::InfinitePast();
                    });
  // ThreadSanitizer sees the locks of Abseil, but not the order that its Notification makes.
  BOOST_REQUIRE(Eventually([&] {
    absl::MutexLock lock(&mutex);
    return decided_after.has_value();
  }));
  BOOST_TEST((decided_after == sent + absl::Milliseconds(50)));
  dispatcher.Stop();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
