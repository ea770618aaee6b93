#include "adapters/http_worker.h"

#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "boost/test/unit_test.hpp"
#include "standins/worker_standin.h"
#include "tests/adapters/standin_fixture.h"

namespace pomelotray {
namespace {

const InstanceId kOwner("i1");
const Epoch kEpoch{1, 0};

struct WorkerFixture : StandinFixture {
  WorkerFixture() {
    BOOST_TEST_REQUIRE(standin.Start(0));
    BOOST_TEST_REQUIRE(Fence(kOwner, kEpoch).ok());
  }

  static WorkerOptions Options() {
    WorkerOptions options;
    options.id = WorkerId("w1");
    options.boot = BootId("b1");
    options.capacity =
        Resources{MilliCores(1000), MebiBytes(100), AcceleratorCount(0), SlotCount(0)};
    return options;
  }

  static TaskStart NewStart(const std::string& attempt, const std::string& payload = "{}") {
    TaskStart start;
    start.attempt = AttemptId(attempt);
    start.task = TaskId("t");
    start.job = JobId("j");
    start.epoch = kEpoch;
    start.boot = BootId("b1");
    start.demand = Resources{MilliCores(600), MebiBytes(10), AcceleratorCount(0), SlotCount(0)};
    start.lease = absl::Seconds(60);
    start.payload = payload;
    return start;
  }

  Outcome<WorkerInventory> Fence(const InstanceId& owner, const Epoch& epoch) {
    return Capture([&] { return worker->Fence(standin.address(), owner, epoch); });
  }
  Outcome<void> Start(const TaskStart& start) {
    return Capture([&] { return worker->Start(standin.address(), start); });
  }
  Outcome<WorkerInventory> Heartbeat(const std::vector<AttemptId>& acknowledge = {}) {
    WorkerHeartbeat heartbeat;
    heartbeat.owner = kOwner;
    heartbeat.epoch = kEpoch;
    heartbeat.lease = absl::Seconds(60);
    heartbeat.acknowledge = acknowledge;
    return Capture([&] { return worker->Heartbeat(standin.address(), heartbeat); });
  }
  // Waits until the worker's only attempt is no longer running.
  AttemptReport AwaitEnd() {
    while (true) {
      const Outcome<WorkerInventory> inventory = Heartbeat();
      BOOST_TEST_REQUIRE((inventory.ok() && inventory.value().attempts.size() == 1U));
      if (inventory.value().attempts[0].state != AttemptState::kRunning) {
        return inventory.value().attempts[0];
      }
      clock.SleepFor(absl::Milliseconds(5));
    }
  }

  WorkerStandin standin{Options(), &clock, &events};
  std::unique_ptr<HttpWorker> worker =
      HttpWorker::Builder().SetCallTimeout(kLongTimeout).SetClock(&clock).Build();
};

BOOST_FIXTURE_TEST_SUITE(HttpWorkerTest, WorkerFixture)

// Guards against a deposed owner that still starts or stops tasks.
BOOST_AUTO_TEST_CASE(LowerEpochsAreFenced) {
  BOOST_TEST_REQUIRE(Start(NewStart("a1")).ok());
  BOOST_TEST_REQUIRE(Fence(InstanceId("i2"), Epoch{2, 0}).ok());
  BOOST_TEST((KindOf(Start(NewStart("a2"))) == ErrorKind::kFenced));
  BOOST_TEST((KindOf(Heartbeat()) == ErrorKind::kFenced));
  BOOST_TEST((KindOf(Fence(kOwner, kEpoch)) == ErrorKind::kFenced));
  BOOST_TEST((KindOf(Capture([&] {
                return worker->Stop(standin.address(), AttemptId("a1"), kEpoch, StopMode::kStop);
              })) == ErrorKind::kFenced));
}

// Guards against two owners of one epoch, and a local takeover from an owner that is alive.
BOOST_AUTO_TEST_CASE(EpochBelongsToOneLivingOwner) {
  BOOST_TEST(Fence(kOwner, kEpoch).ok());
  BOOST_TEST((KindOf(Fence(InstanceId("i2"), kEpoch)) == ErrorKind::kFenced));
  BOOST_TEST((KindOf(Fence(InstanceId("i2"), Epoch{1, 1})) == ErrorKind::kFenced));
}

// Guards against an attempt that runs twice, even after its end was acknowledged.
BOOST_AUTO_TEST_CASE(AttemptRunsOnce) {
  BOOST_TEST_REQUIRE(Start(NewStart("a1", R"({"run_ms": 0, "result": "r"})")).ok());
  BOOST_TEST((KindOf(Start(NewStart("a1"))) == ErrorKind::kConflict));
  const AttemptReport report = AwaitEnd();
  BOOST_TEST((report.state == AttemptState::kSucceeded));
  BOOST_TEST(report.result == "r");
  const Outcome<WorkerInventory> inventory = Heartbeat({AttemptId("a1")});
  BOOST_TEST_REQUIRE(inventory.ok());
  BOOST_TEST(inventory.value().attempts.empty());
  const Outcome<void> again = Start(NewStart("a1"));
  BOOST_TEST((KindOf(again) == ErrorKind::kConflict));
  BOOST_TEST(again.error().message.find("already known") != std::string::npos);
}

// Guards against starts beyond the capacity, on another boot, under an epoch that the worker has
// not seen, or after their time.
BOOST_AUTO_TEST_CASE(StartsThatDoNotFitAreRefused) {
  BOOST_TEST_REQUIRE(Start(NewStart("a1")).ok());
  BOOST_TEST((KindOf(Start(NewStart("a2"))) == ErrorKind::kOverLimit));
  TaskStart small = NewStart("a3");
  small.demand.cpu = MilliCores(400);
  TaskStart wrong_boot = small;
  wrong_boot.boot = BootId("b2");
  BOOST_TEST((KindOf(Start(wrong_boot)) == ErrorKind::kNotReady));
  TaskStart not_fenced = small;
  not_fenced.epoch = Epoch{3, 0};
  BOOST_TEST((KindOf(Start(not_fenced)) == ErrorKind::kNotReady));
  TaskStart late = small;
  late.valid_before = -absl::Seconds(1);
  clock.SleepFor(absl::Milliseconds(2));
  BOOST_TEST((KindOf(Start(late)) == ErrorKind::kDeadlineExceeded));
  BOOST_TEST(Start(small).ok());
}

// Guards against a task that runs on after its lease.
BOOST_AUTO_TEST_CASE(LapsedAttemptIsStopped) {
  TaskStart start = NewStart("a1");
  start.lease = absl::Milliseconds(100);
  BOOST_TEST_REQUIRE(Start(start).ok());
  BOOST_TEST((AwaitEnd().state == AttemptState::kLapsed));
  BOOST_TEST(Start(NewStart("a2")).ok());
}

// Guards against a late renewal that revives a lease.
BOOST_AUTO_TEST_CASE(LateRenewalIsIgnored) {
  TaskStart start = NewStart("a1");
  start.lease = absl::Milliseconds(300);
  BOOST_TEST_REQUIRE(Start(start).ok());
  WorkerHeartbeat late;
  late.owner = kOwner;
  late.epoch = kEpoch;
  late.renew = {AttemptId("a1")};
  late.lease = absl::Seconds(60);
  late.valid_before = absl::ZeroDuration();
  clock.SleepFor(absl::Milliseconds(2));
  BOOST_TEST(Capture([&] { return worker->Heartbeat(standin.address(), late); }).ok());
  BOOST_TEST((AwaitEnd().state == AttemptState::kLapsed));
}

// Guards against stops that do not reach a service, and failures that look like success.
BOOST_AUTO_TEST_CASE(TasksEndAsTold) {
  BOOST_TEST_REQUIRE(Start(NewStart("a1")).ok());
  BOOST_TEST(Capture([&] {
               return worker->Stop(standin.address(), AttemptId("a1"), kEpoch, StopMode::kStop);
             }).ok());
  BOOST_TEST((AwaitEnd().state == AttemptState::kStopped));
  BOOST_TEST_REQUIRE(Heartbeat({AttemptId("a1")}).ok());
  BOOST_TEST_REQUIRE(Start(NewStart("a2", R"({"run_ms": 0, "fail": true})")).ok());
  BOOST_TEST((AwaitEnd().state == AttemptState::kFailed));
}

// Guards against a start whose answer was lost and that is reported as not done.
BOOST_AUTO_TEST_CASE(LostAnswersLeaveTheOutcomeUnknown) {
  for (const char* mode : {"lose_answers", "truncate", "misdirect"}) {
    TaskStart start = NewStart(mode);
    start.demand.cpu = MilliCores(100);
    SetFault(standin.address(), {{"mode", mode}});
    BOOST_TEST((KindOf(Start(start)) == ErrorKind::kOutcomeUnknown), mode);
    SetFault(standin.address(), {{"mode", "none"}});
    BOOST_TEST((KindOf(Start(start)) == ErrorKind::kConflict), mode);
  }
  BOOST_TEST(worker->dropped_answers() == 1);
  // A refusal of another attempt says nothing about this one.
  SetFault(standin.address(), {{"mode", "misdirect"}});
  BOOST_TEST((KindOf(Start(NewStart("misdirect"))) == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(worker->dropped_answers() == 2);
}

// Guards against calls without effect that are reported as unknown, so that work is held back.
BOOST_AUTO_TEST_CASE(UnreachableWorkerHasNoEffect) {
  SetFault(standin.address(), {{"mode", "down"}});
  BOOST_TEST((KindOf(Start(NewStart("a1"))) == ErrorKind::kUnavailable));
  standin.Stop();
  BOOST_TEST((KindOf(Start(NewStart("a1"))) == ErrorKind::kUnavailable));
  BOOST_TEST((KindOf(Fence(kOwner, kEpoch)) == ErrorKind::kUnavailable));
}

// Guards against a ground truth that misses a start, an end or a reservation.
BOOST_AUTO_TEST_CASE(EventsShowWhatRan) {
  BOOST_TEST_REQUIRE(Start(NewStart("a1", R"({"run_ms": 0})")).ok());
  (void)AwaitEnd();
  std::vector<EventCode> codes;
  for (const Event& event : events.Select({{"worker", "w1"}})) {
    codes.push_back(event.code);
  }
  const std::vector<EventCode> expected = {
      EventCode::kProcessStarted,    EventCode::kWorkerFenced, EventCode::kTaskStarted,
      EventCode::kWorkerReservation, EventCode::kTaskEnded,    EventCode::kWorkerReservation};
  BOOST_TEST((codes == expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkerStateTest)

// Guards against a local takeover that the worker refuses for ever, or accepts too early.
BOOST_AUTO_TEST_CASE(HigherRoundNeedsASilentOwner) {
  ManualClock clock;
  HybridClock hybrid_clock(&clock);
  EventLog events("w1", &hybrid_clock);
  WorkerState state(WorkerFixture::Options(), &clock, &events);
  BOOST_TEST((state.Fence(kOwner, kEpoch) == WorkerVerdict::kOk));
  clock.Advance(absl::Seconds(4));
  WorkerHeartbeat heartbeat;
  heartbeat.owner = kOwner;
  heartbeat.epoch = kEpoch;
  BOOST_TEST((state.Heartbeat(heartbeat) == WorkerVerdict::kOk));
  clock.Advance(WorkerState::kOwnerLease - absl::Milliseconds(1));
  BOOST_TEST((state.Fence(InstanceId("i2"), Epoch{1, 1}) == WorkerVerdict::kFenced));
  clock.Advance(absl::Milliseconds(2));
  BOOST_TEST((state.Fence(InstanceId("i2"), Epoch{1, 1}) == WorkerVerdict::kOk));
  BOOST_TEST((state.Heartbeat(heartbeat) == WorkerVerdict::kFenced));
  BOOST_TEST((state.Fence(InstanceId("i3"), Epoch{2, 0}) == WorkerVerdict::kOk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
