#include "scheduler/shard_scheduler.h"

#include <algorithm>

#include "boost/test/unit_test.hpp"
#include "tests/scheduler/scheduler_fixture.h"

namespace pomelotray {
namespace {

BOOST_FIXTURE_TEST_SUITE(ShardSchedulerTest, SchedulerFixture)

// Guards against tasks that are placed twice or that exceed a worker's capacity.
BOOST_AUTO_TEST_CASE(PlacesEachTaskOnceWithinCapacity) {
  AddWorker("w1", MakeResources(4, 8));
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 2), 3));
  BOOST_TEST(Schedule() == "j/0@w1 j/1@w1");
  BOOST_TEST(Schedule() == "");
  scheduler->Release(TaskId("j/0"));
  BOOST_TEST(Schedule() == "j/2@w1");
  BOOST_TEST(scheduler->QueuedTasks() == 0u);
}

// Guards against a customer that exceeds its resource limit, and against a wait reason that does
// not name the limit.
BOOST_AUTO_TEST_CASE(CustomerStaysWithinResourceLimit) {
  AddWorker("w1", MakeResources(8, 16));
  limits.hold[CustomerId("a")] = MakeResources(2, 16);
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 2), 2));
  BOOST_TEST(Schedule() == "j/0@w1");
  BOOST_TEST(scheduler->WaitReason(JobId("j")) ==
             "Customer a would hold {cpu 4000m, memory 4096 MiB, accelerators 0, slots 0} of its "
             "limit {cpu 2000m, memory 16384 MiB, accelerators 0, slots 0} in this shard.");
}

// Guards against customers that get equal shares in spite of different weights.
BOOST_AUTO_TEST_CASE(CapacityIsSharedByWeight) {
  AddWorker("w1", MakeResources(8, 64));
  limits.weight[CustomerId("a")] = 3;
  scheduler->Enqueue(Job("ja", "a", MakeResources(1, 1), 20));
  scheduler->Enqueue(Job("jb", "b", MakeResources(1, 1), 20));
  Schedule();
  BOOST_TEST(scheduler->CustomerUsage(CustomerId("a")).cpu.value() == 6000);
  BOOST_TEST(scheduler->CustomerUsage(CustomerId("b")).cpu.value() == 2000);
}

// Guards against a job that waits behind jobs of the same customer with later deadlines.
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

// Guards against a gang of which only some tasks are placed.
BOOST_AUTO_TEST_CASE(GangIsPlacedWholeOrNotAtAll) {
  AddWorker("w1", MakeResources(2, 4));
  JobRecord gang = Job("g", "a", MakeResources(1, 1), 3);
  gang.spec.kind = JobKind::kGang;
  scheduler->Enqueue(gang);
  BOOST_TEST(Schedule() == "");
  AddWorker("w2", MakeResources(2, 4));
  const ScheduleDecisions round = scheduler->Schedule(1);
  BOOST_TEST(round.placements.size() == 3u);
}

// Guards against small tasks that starve a gang, and against a drain reservation that keeps short
// tasks off capacity that the gang cannot use yet.
BOOST_AUTO_TEST_CASE(WorkersAreDrainedForGangAndBackfilled) {
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
  // Without observed run times, the upper estimate is ten times the declared run time.
  JobRecord longer = Job("longer", "c", MakeResources(1, 1));
  longer.spec.expected_run = absl::Seconds(20);
  JobRecord shorter = Job("shorter", "d", MakeResources(1, 1));
  shorter.spec.expected_run = absl::Seconds(5);
  scheduler->Enqueue(longer);
  scheduler->Enqueue(shorter);
  BOOST_TEST(Schedule() == "shorter/0@w2");
  scheduler->Release(TaskId("blocker/0"));
  scheduler->Release(TaskId("shorter/0"));
  const ScheduleDecisions round = scheduler->Schedule(1000);
  BOOST_REQUIRE(round.placements.size() == 2u);
  BOOST_TEST(round.placements[0].job.value() == "g");
  BOOST_TEST(round.placements[0].worker != round.placements[1].worker);
}

// Guards against a deadlock of two gangs that each hold a part of the capacity the other needs.
BOOST_AUTO_TEST_CASE(TwoGangsDoNotDeadlock) {
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

// Guards against urgent work that waits in a full pool, that preempts tasks which must run at most
// once, or that preempts more tasks than necessary.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsOnlyNecessaryTasks) {
  AddWorker("w1", MakeResources(4, 8));
  JobRecord once = Job("once", "a", MakeResources(2, 1));
  once.spec.repeatable = false;
  scheduler->Enqueue(once);
  scheduler->Enqueue(Job("many", "a", MakeResources(1, 1), 2));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 3u);
  JobRecord urgent = Job("urgent", "b", MakeResources(1, 1));
  urgent.spec.priority = Priority::kUrgent;
  scheduler->Enqueue(urgent);
  const ScheduleDecisions first = scheduler->Schedule(1000);
  BOOST_REQUIRE(first.preemptions.size() == 1u);
  BOOST_TEST(first.preemptions[0].job.value() == "many");
  BOOST_TEST((first.preemptions[0].mode == StopMode::kCheckpoint));
  BOOST_TEST(scheduler->Schedule(1000).preemptions.empty());
  clock.Advance(absl::Seconds(3));
  const ScheduleDecisions second = scheduler->Schedule(1000);
  BOOST_REQUIRE(second.preemptions.size() == 1u);
  BOOST_TEST((second.preemptions[0].mode == StopMode::kStop));
  scheduler->Requeue(first.preemptions[0].task);
  BOOST_TEST(Schedule() == "urgent/0@w1");
  BOOST_TEST(scheduler->QueuedTasks() == 1u);
}

// Guards against urgent work that starves in a pool full of gangs, and against a gang of which only
// some tasks are stopped or restarted.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsWholeGang) {
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

// Guards against a gang that is partly restarted while its last task is still being stopped, and
// against a gang that stays partly stopped because the urgent job was cancelled.
BOOST_AUTO_TEST_CASE(PartlyStoppedGangIsStoppedCompletely) {
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
  const ScheduleDecisions round = scheduler->Schedule(1000);
  BOOST_REQUIRE(round.preemptions.size() == 1u);
  BOOST_TEST(round.preemptions[0].task.value() == "g/1");
  BOOST_TEST((round.preemptions[0].mode == StopMode::kStop));
  scheduler->Requeue(TaskId("g/1"));
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
}

// Guards against other work that takes the capacity freed for urgent work.
BOOST_AUTO_TEST_CASE(FreedCapacityIsKeptForUrgentWork) {
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

// Guards against a large task that starves behind a steady stream of small ones.
BOOST_AUTO_TEST_CASE(WorkerIsDrainedForAgedJob) {
  AddWorker("w1", MakeResources(2, 8));
  scheduler->Enqueue(Job("s0", "a", MakeResources(1, 1)));
  Schedule();
  scheduler->Enqueue(Job("large", "b", MakeResources(2, 1)));
  int round = 1;
  std::string placed;
  // Each small task runs for 60 s and overlaps with the next one, so the worker is never empty
  // unless it is drained for the large job.
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

// Guards against a customer whose large jobs starve because small tasks of other customers take all
// capacity that becomes free.
BOOST_AUTO_TEST_CASE(WorkerIsDrainedForUnderservedCustomer) {
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

// Guards against a steady stream of urgent tasks that occupies the workers drained for another job.
BOOST_AUTO_TEST_CASE(UrgentWorkAvoidsDrainedWorkers) {
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
    const ScheduleDecisions round = scheduler->Schedule(1000);
    for (const Preemption& preemption : round.preemptions) {
      scheduler->Requeue(preemption.task);
    }
    absl::StrAppend(&placed, ToText(round), " ", Schedule(), " ");
  }
  BOOST_TEST(placed.find("large/0@") != std::string::npos);
  BOOST_TEST(placed.find("u0/0@") != std::string::npos);
}

// Guards against a drain reservation that moves to another worker, and so gives up the capacity
// drained so far, when a task runs longer than estimated.
BOOST_AUTO_TEST_CASE(OverdueDrainReservationKeepsItsWorker) {
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

// Guards against jobs for which no workers can be drained and that block drains for all younger
// jobs.
BOOST_AUTO_TEST_CASE(JobsWithoutPossibleDrainAreSkipped) {
  AddWorker("w1", MakeResources(4, 8));
  AddWorker("w2", MakeResources(4, 8));
  JobRecord service = Job("service", "a", MakeResources(1, 1), 2);
  service.spec.kind = JobKind::kService;
  scheduler->Enqueue(service);
  BOOST_TEST(scheduler->Schedule(1000).placements.size() == 2u);
  // The services never end, so these gangs cannot be placed.
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

// Guards against a faulty worker that keeps getting jobs and fails all of them.
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

// Guards against a few failing jobs that cause all workers to be quarantined (found by fault run
// ZombieOwners, seed 289).
BOOST_AUTO_TEST_CASE(FailingJobsDoNotQuarantineAllWorkers) {
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

// Guards against a gang that is placed only in part because its first task uses up the probe of a
// quarantined worker.
BOOST_AUTO_TEST_CASE(WholeGangProbesQuarantinedWorker) {
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

// Guards against held tasks that are placed, and against a cancelled job that is queued again.
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

// Guards against a job that starts after its deadline or is not reported as expired.
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

// Guards against jobs that are accepted although they can never be placed.
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

// Guards against replicas of a service that share a rack while another rack has capacity.
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

// Guards against CPU-only tasks that occupy workers with accelerators while workers without
// accelerators are free.
BOOST_AUTO_TEST_CASE(CpuOnlyTasksAvoidAcceleratorWorkers) {
  AddWorker("gpu", MakeResources(8, 64, 8));
  AddWorker("cpu", MakeResources(8, 64));
  scheduler->Enqueue(Job("j", "a", MakeResources(2, 4), 4));
  BOOST_TEST(Schedule() == "j/0@cpu j/1@cpu j/2@cpu j/3@cpu");
}

// Guards against running tasks that are lost or counted twice after a takeover of the shard.
BOOST_AUTO_TEST_CASE(AdoptedTaskKeepsItsReservation) {
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

// Guards against a job that is admitted although the queue makes its deadline unmeetable.
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
