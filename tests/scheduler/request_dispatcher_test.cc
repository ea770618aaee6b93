#include "scheduler/request_dispatcher.h"

#include <rapidcheck.h>

#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "boost/test/unit_test.hpp"
#include "scheduler/contract_limiter.h"
#include "tests/scheduler/scheduler_fixture.h"

namespace pomelotray {
namespace {

constexpr int64_t kSlots = 8;

Resources Slots(int64_t slots) {
  Resources capacity;
  capacity.slots = SlotCount(slots);
  return capacity;
}

struct DispatcherFixture {
  Outcome<void> Enqueue(const std::string& request, const std::string& customer,
                        absl::Duration time_left) {
    return Capture([&] {
      return dispatcher.Enqueue(RequestId(request), CustomerId(customer), clock.Now() + time_left);
    });
  }
  // Completes 20 requests with this service time, so that the dispatcher expects it of later ones.
  void LearnServiceTime(absl::Duration service_time) {
    for (int i = 0; i < 20; ++i) {
      const std::string id = absl::StrCat("warmup", i);
      BOOST_REQUIRE(Enqueue(id, "warmup", absl::Hours(1)).ok());
      BOOST_REQUIRE(dispatcher.Dispatch().size() == 1u);
      dispatcher.Complete(RequestId(id), service_time, true);
    }
  }

  ManualClock clock;
  FakeLimits limits;
  RequestDispatcher dispatcher{&clock, &limits, 7};
};

BOOST_FIXTURE_TEST_SUITE(RequestDispatcherTest, DispatcherFixture)

// Guards against assigning more requests to an executor than it has slots, including slots that
// requests of a previous shard owner still use after a takeover.
BOOST_AUTO_TEST_CASE(SlotsInUseAreBounded) {
  dispatcher.UpsertExecutor(ExecutorId("e1"), Slots(kSlots), 64);
  dispatcher.SetBusySlots(ExecutorId("e1"), 3);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Enqueue(absl::StrCat("r", i), "a", absl::Hours(1)).ok());
  }
  BOOST_TEST(dispatcher.Dispatch().size() == 5u);
  BOOST_TEST(dispatcher.SlotsInUse(ExecutorId("e1")) == kSlots);
  dispatcher.SetBusySlots(ExecutorId("e1"), 0);
  BOOST_TEST(dispatcher.Dispatch().size() == 3u);
}

// Guards against more requests in flight than the executor accepts connections.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded) {
  dispatcher.UpsertExecutor(ExecutorId("e1"), Slots(kSlots), 2);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Enqueue(absl::StrCat("r", i), "a", absl::Hours(1)).ok());
  }
  BOOST_TEST(dispatcher.Dispatch().size() == 2u);
}

// Guards against one customer occupying all slots, regardless of weights and slot limits.
BOOST_AUTO_TEST_CASE(SlotsAreSharedByWeightAndLimit) {
  dispatcher.UpsertExecutor(ExecutorId("e1"), Slots(kSlots), 64);
  limits.weight[CustomerId("a")] = 3;
  limits.hold[CustomerId("c")] = Slots(1);
  std::map<char, int> served;
  for (int i = 0; i < 10; ++i) {
    for (const char* customer : {"a", "b", "c"}) {
      BOOST_TEST(Enqueue(absl::StrCat(customer, i), customer, absl::Hours(1)).ok());
    }
  }
  for (const Assignment& assignment : dispatcher.Dispatch()) {
    ++served[assignment.request.value()[0]];
  }
  BOOST_TEST(served['c'] == 1);
  BOOST_TEST(served['a'] == 5);
  BOOST_TEST(served['b'] == 2);
}

// Guards against queueing requests that cannot be answered by their deadline, and against giving
// all refused callers the same retry time.
BOOST_AUTO_TEST_CASE(UnmeetableRequestsAreRefusedAtOnce) {
  dispatcher.UpsertExecutor(ExecutorId("e1"), Slots(1), 64);
  LearnServiceTime(absl::Milliseconds(100));
  std::set<absl::Duration> retry_times;
  int accepted = 0;
  for (int i = 0; i < 50; ++i) {
    const Outcome<void> outcome = Enqueue(absl::StrCat("r", i), "a", absl::Seconds(1));
    if (outcome.ok()) {
      ++accepted;
    } else {
      BOOST_TEST((outcome.error().kind == ErrorKind::kDeadlineUnmeetable));
      retry_times.insert(*outcome.error().retry_after);
    }
  }
  // The n-th request expects 1.25 * n * 100 ms in the queue and 100 ms of service, within 1 s.
  BOOST_TEST(accepted == 7);
  BOOST_TEST(retry_times.size() > 30u);
  clock.Advance(absl::Milliseconds(950));
  BOOST_TEST(dispatcher.Dispatch().empty());
  BOOST_TEST(dispatcher.TakeUnmeetable().size() == static_cast<size_t>(accepted));
  BOOST_TEST(dispatcher.QueuedRequests() == 0u);
}

// Guards against assigning as many requests to a slow or failing executor as to a good one.
BOOST_AUTO_TEST_CASE(ChoosesTheLeastExpectedWait) {
  dispatcher.UpsertExecutor(ExecutorId("failing"), Slots(kSlots), 64);
  dispatcher.UpsertExecutor(ExecutorId("good"), Slots(kSlots), 64);
  dispatcher.UpsertExecutor(ExecutorId("slow"), Slots(kSlots), 64);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 100; ++i) {
    const std::string id = absl::StrCat("r", i);
    BOOST_REQUIRE(Enqueue(id, "a", absl::Hours(1)).ok());
    const std::string executor = dispatcher.Dispatch().at(0).executor.value();
    ++chosen[executor];
    dispatcher.Complete(RequestId(id), absl::Milliseconds(executor == "slow" ? 300 : 50),
                        executor != "failing");
  }
  BOOST_TEST(chosen["good"] > 50);
  BOOST_TEST(chosen["slow"] < 10);
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(RetriesAreATenthOfRequests) {
  dispatcher.UpsertExecutor(ExecutorId("e1"), Slots(kSlots), 64);
  int retries = 0;
  for (int i = 0; i < 95; ++i) {
    BOOST_TEST(Enqueue(absl::StrCat("r", i), "a", absl::Hours(1)).ok());
    retries += dispatcher.TryConsumeRetry(CustomerId("a")) ? 1 : 0;
  }
  BOOST_TEST(retries == 9);
}

// Guards against applying a rate or burst other than that of the contract, and against ignoring a
// changed limit.
BOOST_AUTO_TEST_CASE(ContractLimiterFollowsRateAndBurst) {
  ContractLimiter limiter(&clock, 7);
  const CustomerId customer("a");
  const auto admitted = [&](int calls) {
    int count = 0;
    for (int i = 0; i < calls; ++i) {
      count += Capture([&] { return limiter.Admit(customer); }).ok() ? 1 : 0;
    }
    return count;
  };
  BOOST_TEST(admitted(1) == 0);
  limiter.SetLimit(customer, 2, 5);
  BOOST_TEST(admitted(20) == 5);
  clock.Advance(absl::Seconds(2));
  BOOST_TEST(admitted(20) == 4);
  limiter.SetLimit(customer, 10, 20);
  clock.Advance(absl::Seconds(1));
  BOOST_TEST(admitted(20) == 10);
}

// Guards against slots that are leaked or assigned twice, for random sequences of calls.
BOOST_AUTO_TEST_CASE(SlotBoundsHoldInAnyOrderOfCalls) {
  BOOST_TEST(rc::check("slot bounds hold in any order of calls", [] {
    DispatcherFixture fixture;
    RequestDispatcher& dispatcher = fixture.dispatcher;
    std::map<RequestId, ExecutorId> assigned;
    std::set<RequestId> queued;
    int next = 0;
    const std::vector<std::pair<uint8_t, uint8_t>> steps =
        *rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<std::pair<uint8_t, uint8_t>>>());
    for (const auto& [call, choice] : steps) {
      const ExecutorId executor(absl::StrCat("e", choice % 3));
      const std::string customer = absl::StrCat("c", choice % 2);
      if (call % 8 == 0) {
        dispatcher.UpsertExecutor(executor, Slots(kSlots), 64);
      } else if (call % 8 == 1 && choice % 4 == 0) {
        dispatcher.RemoveExecutor(executor);
      } else if (call % 8 == 1) {
        dispatcher.SetAvailable(executor, choice % 2 == 0);
      } else if (call % 8 <= 4) {
        const std::string id = absl::StrCat("r", next++);
        if (fixture.Enqueue(id, customer, absl::Milliseconds(choice * 10)).ok()) {
          queued.insert(RequestId(id));
        }
      } else if (call % 8 == 5 && !assigned.empty()) {
        const RequestId request = std::next(assigned.begin(), choice % assigned.size())->first;
        dispatcher.Complete(request, absl::Milliseconds(choice), choice % 5 != 0);
        assigned.erase(request);
      } else if (call % 8 == 6 && !queued.empty()) {
        dispatcher.Abandon(*queued.begin());
        queued.erase(queued.begin());
      } else {
        fixture.clock.Advance(absl::Milliseconds(choice));
      }
      for (const Assignment& assignment : dispatcher.Dispatch()) {
        RC_ASSERT(queued.erase(assignment.request) == 1u);
        RC_ASSERT(assigned.emplace(assignment.request, assignment.executor).second);
      }
      for (const RequestId& request : dispatcher.TakeUnmeetable()) {
        RC_ASSERT(queued.erase(request) == 1u);
      }
      RC_ASSERT(dispatcher.QueuedRequests() == queued.size());
      std::map<ExecutorId, int64_t> in_use;
      for (const auto& [request, on] : assigned) {
        ++in_use[on];
      }
      for (const auto& [id, count] : in_use) {
        RC_ASSERT(count <= kSlots);
        RC_ASSERT(dispatcher.SlotsInUse(id) == count);
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
