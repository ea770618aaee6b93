#include "scheduler/shard_scheduler.h"

#include <algorithm>

#include "boost/test/unit_test.hpp"
#include "tests/scheduler/scheduler_fixture.h"

namespace pomelotray {
namespace {

BOOST_FIXTURE_TEST_SUITE(ShardSchedulerTest, SchedulerFixture)

// Guards against a task that is placed twice or above a worker's capacity.
BOOST_AUTO_TEST_CASE(PlacesEachTaskOnceWithinCapacity) {
  AddWorker("w1", MakeResources(4, 8));
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 2), 3));
  BOOST_TEST(Schedule() == "j/0@w1 j/1@w1");
  BOOST_TEST(Schedule() == "");
  scheduler->Release(TaskId("j/0"));
  BOOST_TEST(Schedule() == "j/2@w1");
  BOOST_TEST(scheduler->QueuedTasks() == 0u);
}

// Guards against a customer that exceeds its contract, and a waiting job without its reason.
BOOST_AUTO_TEST_CASE(HoldLimitBoundsACustomer) {
  AddWorker("w1", MakeResources(8, 16));
  limits.hold[CustomerId("a")] = MakeResources(2, 16);
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 2), 2));
  BOOST_TEST(Schedule() == "j/0@w1");
  BOOST_TEST(scheduler->WaitReason(JobId("j")) ==
             "Customer a would hold {cpu 4000m, memory 4096 MiB, accelerators 0, slots 0} of its "
             "limit {cpu 2000m, memory 16384 MiB, accelerators 0, slots 0} in this shard.");
}

// Guards against a customer with less weight getting an equal part.
BOOST_AUTO_TEST_CASE(CapacityIsSharedByWeight) {
  AddWorker("w1", MakeResources(8, 64));
  limits.weight[CustomerId("a")] = 3;
  scheduler->Enqueue(Job("ja", "a", MakeResources(1, 1), 20));
  scheduler->Enqueue(Job("jb", "b", MakeResources(1, 1), 20));
  Schedule();
  BOOST_TEST(scheduler->CustomerUse(CustomerId("a")).cpu.value() == 6000);
  BOOST_TEST(scheduler->CustomerUse(CustomerId("b")).cpu.value() == 2000);
}

// Guards against deadline work that waits behind later deadlines of the same customer.
BOOST_AUTO_TEST_CASE(EarliestDeadlineGoesFirstWithinACustomer) {
  AddWorker("w1", MakeResources(1, 1));
  JobRecord late = Job("late", "a", MakeResources(1, 1));
  late.spec.deadline = clock.Now() + absl::Seconds(100);
  JobRecord early = Job("early", "a", MakeResources(1, 1));
  early.spec.deadline = clock.Now() + absl::Seconds(50);
  scheduler->Enqueue(late);
  scheduler->Enqueue(early);
  BOOST_TEST(Schedule() == "early/0@w1");
}

// Guards against a gang that is placed in part.
BOOST_AUTO_TEST_CASE(GangIsPlacedWholeOrNotAtAll) {
  AddWorker("w1", MakeResources(2, 4));
  JobRecord gang = Job("g", "a", MakeResources(1, 1), 3);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  BOOST_TEST(Schedule() == "");
  AddWorker("w2", MakeResources(2, 4));
  const ScheduleRound round = scheduler->Schedule(1);
  BOOST_TEST(round.placements.size() == 3u);
}

// Guards against small tasks that keep a gang waiting for ever, and against a gang that keeps
// short tasks from room that it cannot use yet.
BOOST_AUTO_TEST_CASE(OldestGangReservesAndShortTasksBackfill) {
  AddWorker("w1", MakeResources(2, 4));
  JobRecord blocker = Job("blocker", "a", MakeResources(2, 1));
  blocker.spec.expected_run = absl::Seconds(100);
  scheduler->Enqueue(blocker);
  BOOST_TEST(Schedule() == "blocker/0@w1");
  AddWorker("w2", MakeResources(2, 4));
  JobRecord gang = Job("g", "b", MakeResources(2, 1), 2);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  BOOST_TEST(Schedule() == "");
  // Unlearned run times count ten times as long as declared.
  JobRecord longer = Job("longer", "c", MakeResources(1, 1));
  longer.spec.expected_run = absl::Seconds(20);
  JobRecord shorter = Job("shorter", "d", MakeResources(1, 1));
  shorter.spec.expected_run = absl::Seconds(5);
  scheduler->Enqueue(longer);
  scheduler->Enqueue(shorter);
  BOOST_TEST(Schedule() == "shorter/0@w2");
  scheduler->Release(TaskId("blocker/0"));
  scheduler->Release(TaskId("shorter/0"));
  const ScheduleRound round = scheduler->Schedule(1000);
  BOOST_REQUIRE(round.placements.size() == 2u);
  BOOST_TEST(round.placements[0].job.value() == "g");
  BOOST_TEST(round.placements[0].worker != round.placements[1].worker);
}

// Guards against two gangs that each hold a part of what the other needs.
BOOST_AUTO_TEST_CASE(TwoGangsDoNotWaitOnEachOther) {
  AddWorker("w1", MakeResources(2, 4));
  AddWorker("w2", MakeResources(2, 4));
  for (const char* id : {"g1", "g2"}) {
    JobRecord gang = Job(id, id, MakeResources(2, 1), 2);
    gang.spec.kind = JobKind::kGang;
    scheduler->Enqueue(gang);
  }
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
  scheduler->Release(TaskId("g1/0"));
  BOOST_TEST(Schedule() == "");
  scheduler->Release(TaskId("g1/1"));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
}

// Guards against urgent work that waits in a full pool, that stops work which must run at most
// once, or that stops more than it needs.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsJustEnoughRepeatableWork) {
  AddWorker("w1", MakeResources(4, 8));
  JobRecord once = Job("once", "a", MakeResources(2, 1));
  once.spec.repeatable = false;
  scheduler->Enqueue(once);
  scheduler->Enqueue(Job("many", "a", MakeResources(1, 1), 2));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 3u);
  JobRecord urgent = Job("urgent", "b", MakeResources(1, 1));
  urgent.spec.priority = Priority::kUrgent;
  scheduler->Enqueue(urgent);
  const ScheduleRound first = scheduler->Schedule(1000);
  BOOST_REQUIRE(first.preemptions.size() == 1u);
  BOOST_TEST(first.preemptions[0].job.value() == "many");
  BOOST_TEST((first.preemptions[0].mode == StopMode::kCheckpoint));
  BOOST_TEST(scheduler->Schedule(1000).preemptions.empty());
  clock.Advance(absl::Seconds(3));
  const ScheduleRound second = scheduler->Schedule(1000);
  BOOST_REQUIRE(second.preemptions.size() == 1u);
  BOOST_TEST((second.preemptions[0].mode == StopMode::kStop));
  scheduler->Requeue(first.preemptions[0].task);
  BOOST_TEST(Schedule() == "urgent/0@w1");
  BOOST_TEST(scheduler->QueuedTasks() == 1u);
}

// Guards against urgent work that waits for ever in a pool full of gangs, and against a gang of
// which a part is stopped or started again.
BOOST_AUTO_TEST_CASE(UrgentWorkStopsAGangAsAWhole) {
  AddWorker("w1", MakeResources(2, 8));
  AddWorker("w2", MakeResources(2, 8));
  JobRecord gang = Job("g", "a", MakeResources(2, 1), 2);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
  JobRecord urgent = Job("urgent", "b", MakeResources(1, 1));
  urgent.spec.priority = Priority::kUrgent;
  scheduler->Enqueue(urgent);
  BOOST_TEST(scheduler->Schedule(1000).preemptions.size() == 2u);
  scheduler->Requeue(TaskId("g/0"));
  scheduler->Requeue(TaskId("g/1"));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 1u);
  scheduler->Release(TaskId("urgent/0"));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
}

// Guards against a gang that starts in part while its last task is still being stopped, and against
// a gang that stays half stopped because the urgent job was cancelled.
BOOST_AUTO_TEST_CASE(HalfStoppedGangIsStoppedToTheEnd) {
  AddWorker("w1", MakeResources(2, 8));
  AddWorker("w2", MakeResources(2, 8));
  JobRecord gang = Job("g", "a", MakeResources(2, 1), 2);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  Schedule();
  JobRecord urgent = Job("urgent", "b", MakeResources(1, 1));
  urgent.spec.priority = Priority::kUrgent;
  scheduler->Enqueue(urgent);
  BOOST_TEST(scheduler->Schedule(1000).preemptions.size() == 2u);
  scheduler->Remove(JobId("urgent"));
  scheduler->Requeue(TaskId("g/0"));
  BOOST_TEST(Schedule() == "");
  clock.Advance(absl::Seconds(3));
  const ScheduleRound round = scheduler->Schedule(1000);
  BOOST_REQUIRE(round.preemptions.size() == 1u);
  BOOST_TEST(round.preemptions[0].task.value() == "g/1");
  BOOST_TEST((round.preemptions[0].mode == StopMode::kStop));
  scheduler->Requeue(TaskId("g/1"));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
}

// Guards against room that was freed for urgent work and taken by other work.
BOOST_AUTO_TEST_CASE(FreedRoomIsKeptForUrgentWork) {
  AddWorker("w1", MakeResources(2, 8));
  scheduler->Enqueue(Job("small", "a", MakeResources(1, 1), 2));
  Schedule();
  scheduler->Enqueue(Job("other", "c", MakeResources(1, 1), 1));
  JobRecord urgent = Job("urgent", "b", MakeResources(2, 1));
  urgent.spec.priority = Priority::kUrgent;
  scheduler->Enqueue(urgent);
  BOOST_TEST(scheduler->Schedule(1000).preemptions.size() == 2u);
  scheduler->Requeue(TaskId("small/0"));
  BOOST_TEST(Schedule() == "");
  scheduler->Requeue(TaskId("small/1"));
  BOOST_TEST(Schedule() == "urgent/0@w1");
}

// Guards against a large task that starves behind a stream of small ones.
BOOST_AUTO_TEST_CASE(AgedJobDrainsAWorker) {
  AddWorker("w1", MakeResources(2, 8));
  scheduler->Enqueue(Job("s0", "a", MakeResources(1, 1)));
  Schedule();
  scheduler->Enqueue(Job("large", "b", MakeResources(2, 1)));
  int round = 1;
  std::string placed;
  // Each small task runs for 60 s and overlaps the next one, so the worker is never empty unless
  // the large job drains it.
  for (; round < 20 && placed != "large/0@w1"; ++round) {
    scheduler->Enqueue(Job(absl::StrCat("s", round), "a", MakeResources(1, 1)));
    placed = Schedule();
    clock.Advance(absl::Seconds(60));
    scheduler->Release(TaskId(absl::StrCat("s", round - 1, "/0")));
    if (placed.empty()) {
      placed = Schedule();
    }
  }
  BOOST_TEST(placed == "large/0@w1");
  BOOST_TEST(round <= 9);
}

// Guards against large jobs of a customer that gets nothing while the small tasks of the others
// take all room that becomes free.
BOOST_AUTO_TEST_CASE(UnderservedCustomerNeedNotAge) {
  AddWorker("w1", MakeResources(4, 8));
  AddWorker("w2", MakeResources(4, 8));
  scheduler->Enqueue(Job("small", "a", MakeResources(1, 1), 8));
  Schedule();
  scheduler->Enqueue(Job("more", "a", MakeResources(1, 1), 20));
  scheduler->Enqueue(Job("large", "b", MakeResources(4, 1)));
  std::string placed = Schedule();
  for (int i = 0; i < 8; ++i) {
    clock.Advance(absl::Seconds(1));
    scheduler->Release(TaskId(absl::StrCat("small/", i)));
    placed += Schedule() + " ";
  }
  BOOST_TEST(placed.find("large/0@") != std::string::npos);
}

// Guards against a stream of urgent tasks that fills the workers drained for another job.
BOOST_AUTO_TEST_CASE(UrgentWorkLeavesDrainedWorkersAlone) {
  AddWorker("w1", MakeResources(4, 8));
  AddWorker("w2", MakeResources(4, 8));
  scheduler->Enqueue(Job("small", "a", MakeResources(1, 1), 8));
  Schedule();
  scheduler->Enqueue(Job("more", "a", MakeResources(1, 1), 20));
  scheduler->Enqueue(Job("large", "b", MakeResources(4, 1)));
  std::string placed = Schedule();
  for (int i = 0; i < 4; ++i) {
    clock.Advance(absl::Seconds(1));
    JobRecord urgent = Job(absl::StrCat("u", i), "c", MakeResources(1, 1));
    urgent.spec.priority = Priority::kUrgent;
    scheduler->Enqueue(urgent);
    scheduler->Release(TaskId(absl::StrCat("small/", i)));
    scheduler->Release(TaskId(absl::StrCat("small/", i + 4)));
    const ScheduleRound round = scheduler->Schedule(1000);
    for (const Preemption& preemption : round.preemptions) {
      scheduler->Requeue(preemption.task);
    }
    absl::StrAppend(&placed, ToText(round), " ", Schedule(), " ");
  }
  BOOST_TEST(placed.find("large/0@") != std::string::npos);
  BOOST_TEST(placed.find("u0/0@") != std::string::npos);
}

// Guards against a reservation that moves to another worker when a task outlives its estimate, and
// so gives up the room drained so far.
BOOST_AUTO_TEST_CASE(LateReservationKeepsItsWorker) {
  AddWorker("w1", MakeResources(2, 8));
  JobRecord late = Job("late", "a", MakeResources(1, 1));
  late.spec.expected_run = absl::Seconds(10);
  scheduler->Enqueue(late);
  Schedule();
  JobRecord filler = Job("filler", "a", MakeResources(1, 1));
  filler.spec.expected_run = absl::Seconds(1000);
  scheduler->Enqueue(filler);
  Schedule();
  scheduler->Release(TaskId("filler/0"));
  AddWorker("w2", MakeResources(2, 8));
  JobRecord other = Job("other", "a", MakeResources(2, 1));
  other.spec.expected_run = absl::Seconds(45);
  scheduler->Enqueue(other);
  BOOST_TEST(Schedule() == "other/0@w2");
  JobRecord gang = Job("g", "b", MakeResources(2, 1));
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  scheduler->Enqueue(Job("small", "a", MakeResources(1, 1)));
  BOOST_TEST(Schedule() == "");
  clock.Advance(absl::Seconds(41));
  BOOST_TEST(Schedule() == "");
  scheduler->Release(TaskId("late/0"));
  BOOST_TEST(Schedule() == "g/0@w1");
}

// Guards against jobs that cannot get a drained worker and keep all younger ones from it.
BOOST_AUTO_TEST_CASE(JobsThatCannotBeDrainedForMakeWay) {
  AddWorker("w1", MakeResources(4, 8));
  AddWorker("w2", MakeResources(4, 8));
  JobRecord service = Job("service", "a", MakeResources(1, 1), 2);
  service.spec.kind = JobKind::kService;
  scheduler->Enqueue(service);
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
  // The services never end, so these gangs find no room.
  for (int i = 0; i < 6; ++i) {
    JobRecord gang = Job(absl::StrCat("g", i), "b", MakeResources(4, 1), 2);
    gang.spec.kind = JobKind::kGang;
    scheduler->Enqueue(gang);
  }
  scheduler->Enqueue(Job("small", "c", MakeResources(1, 1), 6));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 6u);
  JobRecord last = Job("last", "d", MakeResources(2, 1), 2);
  last.spec.kind = JobKind::kGang;
  scheduler->Enqueue(last);
  Schedule();
  Schedule();
  BOOST_TEST(scheduler->WaitReason(JobId("last")).substr(0, 25) == "Workers are being drained");
}

// Guards against a faulty worker that swallows one job after the other.
BOOST_AUTO_TEST_CASE(FaultyWorkerIsQuarantinedAndProbed) {
  AddWorker("w1", MakeResources(4, 8));
  for (const char* job : {"x", "x", "x"}) {
    scheduler->RecordStart(WorkerId("w1"), JobId(job), false);
  }
  scheduler->Enqueue(Job("ok", "a", MakeResources(1, 1)));
  BOOST_TEST(Schedule() == "ok/0@w1");
  scheduler->RecordStart(WorkerId("w1"), JobId("y"), false);
  JobRecord once = Job("once", "a", MakeResources(1, 1));
  once.spec.repeatable = false;
  scheduler->Enqueue(once);
  scheduler->Enqueue(Job("probe", "a", MakeResources(1, 1), 2));
  BOOST_TEST(Schedule() == "");
  clock.Advance(absl::Seconds(31));
  BOOST_TEST(Schedule() == "probe/0@w1");
  scheduler->RecordStart(WorkerId("w1"), JobId("probe"), true);
  BOOST_TEST(Schedule() == "once/0@w1 probe/1@w1");
}

// Guards against a few failing jobs that take all workers out (fault run ZombieOwners, seed 289).
BOOST_AUTO_TEST_CASE(FailingJobsDoNotStopTheShard) {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) {
    AddWorker(worker, MakeResources(4, 8));
    for (const char* job : {"x", "y", "x"}) {
      scheduler->RecordStart(WorkerId(worker), JobId(job), false);
    }
  }
  JobRecord once = Job("once", "a", MakeResources(4, 8), 4);
  once.spec.repeatable = false;
  scheduler->Enqueue(once);
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 3u);
}

// Guards against a gang that is placed in part because its first task closes the probed worker.
BOOST_AUTO_TEST_CASE(GangProbesAQuarantinedWorkerAsAWhole) {
  AddWorker("w1", MakeResources(4, 8));
  for (const char* job : {"x", "x", "y"}) {
    scheduler->RecordStart(WorkerId("w1"), JobId(job), false);
  }
  clock.Advance(absl::Seconds(31));
  JobRecord gang = Job("g", "a", MakeResources(1, 1), 2);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  BOOST_TEST(Schedule() == "g/0@w1 g/1@w1");
}

// Guards against held tasks that start, and against a cancelled job that comes back.
BOOST_AUTO_TEST_CASE(HoldRemoveAndRequeue) {
  AddWorker("w1", MakeResources(4, 8));
  scheduler->Enqueue(Job("j", "a", MakeResources(1, 1), 2));
  scheduler->Hold(TaskId("j/0"));
  BOOST_TEST(Schedule() == "j/1@w1");
  scheduler->Unhold(TaskId("j/0"));
  BOOST_TEST(Schedule() == "j/0@w1");
  scheduler->Remove(JobId("j"));
  scheduler->Requeue(TaskId("j/0"));
  BOOST_TEST(scheduler->QueuedTasks() == 0u);
  BOOST_TEST(scheduler->Reserved(WorkerId("w1")) == MakeResources(1, 1));
}

// Guards against a job that starts after its deadline, or that ran and is reported as expired.
BOOST_AUTO_TEST_CASE(ExpiredJobsAreReportedAndNotPlaced) {
  JobRecord job = Job("j", "a", MakeResources(1, 1));
  job.spec.deadline = clock.Now() + absl::Seconds(10);
  scheduler->Enqueue(job);
  clock.Advance(absl::Seconds(10));
  AddWorker("w1", MakeResources(4, 8));
  BOOST_TEST(Schedule() == "");
  BOOST_REQUIRE(scheduler->ExpiredJobs(clock.Now()).size() == 1u);
  BOOST_TEST(scheduler->ExpiredJobs(clock.Now())[0].value() == "j");
}

// Guards against jobs that are accepted though they can never run.
BOOST_AUTO_TEST_CASE(UnplaceableWorkIsRefusedWithItsReason) {
  AddWorker("w1", MakeResources(4, 8, 2));
  const JobRecord task = Job("t", "a", MakeResources(5, 1));
  const Outcome<void> single = Capture([&] { return scheduler->CheckPlaceable(task.spec); });
  BOOST_REQUIRE(!single.ok());
  BOOST_TEST((single.error().kind == ErrorKind::kUnplaceable));
  JobRecord gang = Job("g", "a", MakeResources(1, 1, 1), 3);
  gang.spec.kind = JobKind::kGang;
  const Outcome<void> whole = Capture([&] { return scheduler->CheckPlaceable(gang.spec); });
  BOOST_REQUIRE(!whole.ok());
  BOOST_TEST(whole.error().message ==
             "The workers of pool rendering can hold 2 of the 3 tasks of this gang at once; lower "
             "the number of tasks or the demand of each.");
}

// Guards against replicas of a service that share a rack while another rack is free.
BOOST_AUTO_TEST_CASE(ServiceIsSpreadOverRacks) {
  AddWorker("w1", MakeResources(8, 8), "r1");
  AddWorker("w2", MakeResources(8, 8), "r1");
  AddWorker("w3", MakeResources(4, 4), "r2");
  JobRecord service = Job("s", "a", MakeResources(1, 1), 2);
  service.spec.kind = JobKind::kService;
  scheduler->Enqueue(service);
  std::vector<std::string> racks;
  for (const Placement& placement : scheduler->Schedule(1000).placements) {
    racks.push_back(placement.worker.value() == "w3" ? "r2" : "r1");
  }
  std::sort(racks.begin(), racks.end());
  BOOST_TEST((racks == std::vector<std::string>{"r1", "r2"}));
}

// Guards against processor work that strands accelerators while other workers have none.
BOOST_AUTO_TEST_CASE(ProcessorWorkAvoidsAccelerators) {
  AddWorker("gpu", MakeResources(8, 64, 8));
  AddWorker("cpu", MakeResources(8, 64));
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 4), 4));
  BOOST_TEST(Schedule() == "j/0@cpu j/1@cpu j/2@cpu j/3@cpu");
}

// Guards against a takeover that forgets running tasks or counts them twice.
BOOST_AUTO_TEST_CASE(AdoptedTaskKeepsItsRoom) {
  AddWorker("w1", MakeResources(2, 8));
  JobRecord job = Job("j", "a", MakeResources(2, 1), 2);
  job.tasks[0].state = TaskState::kRunning;
  scheduler->Adopt(job, TaskId("j/0"), WorkerId("w1"));
  scheduler->Adopt(job, TaskId("j/0"), WorkerId("w1"));
  scheduler->Enqueue(job);
  BOOST_TEST(Schedule() == "");
  BOOST_TEST(scheduler->Reserved(WorkerId("w1")) == MakeResources(2, 1));
  scheduler->Release(TaskId("j/0"));
  BOOST_TEST(Schedule() == "j/1@w1");
}

// Guards against a deadline that is accepted though the queue ahead makes it hopeless.
BOOST_AUTO_TEST_CASE(AdmissionRefusesUnmeetableDeadlines) {
  AddWorker("w1", MakeResources(1, 8));
  for (int i = 0; i < 10; ++i) {
    scheduler->ObserveRun(CustomerId("a"), PoolName("rendering"), absl::Seconds(60), {});
  }
  scheduler->Enqueue(Job("j", "a", MakeResources(1, 1), 10));
  Schedule();
  JobRecord job = Job("d", "a", MakeResources(1, 1));
  job.spec.deadline = clock.Now() + absl::Minutes(5);
  const Outcome<void> refused = Capture([&] { return scheduler->Admit(job.spec); });
  BOOST_REQUIRE(!refused.ok());
  BOOST_TEST((refused.error().kind == ErrorKind::kDeadlineUnmeetable));
  BOOST_TEST(refused.error().retry_after.has_value());
  job.spec.deadline = clock.Now() + absl::Minutes(15);
  BOOST_TEST(Capture([&] { return scheduler->Admit(job.spec); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
