#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/cell/advised_fixture.h"

namespace pomelotray {
namespace {

using Fixture = SchedulerFixture;

// Number of moved tasks that may be out of service at a time.
constexpr size_t kMaxMoves = 8;

StepSpec LongRunning(int tasks, int64_t cpu) {
  StepSpec step = Fixture::Step(tasks, cpu);
  step.long_running = true;
  return step;
}

// A pool with workers that leave. The tasks run until the test ends them.
class LeavingPool : public AdvisedFixture {
 public:
  // Adds a worker that the directory lists.
  void Add(const WorkerDescription& worker) {
    listed_[worker.id.value()] = worker;
    UpdateListed();
    scheduler().ConfirmRoster({worker.id});
    ReportRunning(worker.id.value());
  }
  // Adds the worker `id` with room for one task of 1000 millicores and starts the job's only task
  // there.
  void StartOn(const std::string& id, const JobIntake& job) {
    Add(Worker(id, 1000));
    AddJob(job);
    BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  }
  void Leave(const std::string& worker) {
    listed_.at(worker).draining = true;
    UpdateListed();
  }
  // The worker has left: its entry is gone, and it no longer answers.
  void Exit(const std::string& worker) {
    listed_.erase(worker);
    running_.erase(worker);
    UpdateListed();
    scheduler().HoldFailed(WorkerId(worker), Now());
  }
  // Reports what runs on the worker.
  void ReportRunning(const std::string& worker, const std::string& checkpoint = "") {
    std::vector<RunningAttempt> attempts;
    for (const AttemptKey& key : running_[worker]) {
      attempts.push_back(RunningAttempt{key, checkpoint, 100, 0});
    }
    Report(worker, attempts);
  }
  // Runs a round and notes the attempts that it starts. Returns all its orders.
  std::vector<SentOrder> Orders() {
    std::vector<SentOrder> orders = Round();
    for (const SentOrder& sent : Starts(orders)) {
      running_[sent.worker.value()].push_back(sent.order.key);
    }
    return orders;
  }
  // Runs a round and reports the attempts that it starts. Returns the starts.
  std::vector<SentOrder> StartAll() {
    std::vector<SentOrder> starts = Starts(Orders());
    for (const SentOrder& sent : starts) {
      ReportRunning(sent.worker.value());
    }
    return starts;
  }
  // Reports that the attempt has been stopped.
  void EndStopped(const SentOrder& stop, AttemptEnd end = AttemptEnd::kStopped) {
    std::vector<AttemptKey>& keys = running_.at(stop.worker.value());
    keys.erase(std::remove(keys.begin(), keys.end(), stop.order.key), keys.end());
    std::vector<RunningAttempt> attempts;
    attempts.reserve(keys.size());
    for (const AttemptKey& key : keys) {
      attempts.push_back(Running(key));
    }
    Report(stop.worker.value(), attempts, {{stop.order.key, end}});
  }
  const CellTask& Task(const std::string& job, int task = 0) {
    return scheduler().jobs().at(JobId(job)).runs[0].tasks[task];
  }

 private:
  void UpdateListed() {
    std::vector<WorkerDescription> workers;
    for (const auto& [id, worker] : listed_) {
      workers.push_back(worker);
    }
    scheduler().UpdateDirectory(workers, Now());
  }

  std::map<std::string, WorkerDescription> listed_;
  std::map<std::string, std::vector<AttemptKey>> running_;
};

BOOST_AUTO_TEST_SUITE(LeavingWorkersTest)

// Guards against a long-running task that waits for the end of its worker's lease although the
// worker had announced that it leaves, and against a second run while the first one is stopped.
BOOST_AUTO_TEST_CASE(LongRunningTaskStartsElsewhereOnceItsAttemptIsStopped) {
  LeavingPool pool;
  pool.StartOn("w1", Fixture::Job("watch", {LongRunning(1, 1000)}));
  pool.Add(Fixture::Worker("w2", 1000));
  BOOST_TEST(pool.Orders().empty());
  pool.Leave("w1");
  const std::vector<SentOrder> stops = pool.Orders();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST((stops[0].order.kind == WorkerOrder::Kind::kStop));
  BOOST_TEST(stops[0].worker.value() == "w1");
  const std::vector<Event> events = pool.Events(EventCode::kTaskPreempted);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_TEST(events[0].fields.at(event_field::kReason) == "the worker is leaving");
  for (int i = 0; i < 3; ++i) {
    pool.Advance(absl::Milliseconds(100));
    pool.ReportRunning("w1", "saved");
    BOOST_TEST(pool.Orders().empty());
  }
  pool.EndStopped(stops[0]);
  const std::vector<SentOrder> starts = pool.Orders();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].order.kind == WorkerOrder::Kind::kStart));
  BOOST_TEST(starts[0].worker.value() == "w2");
  BOOST_TEST(starts[0].order.checkpoint == "saved");
  BOOST_TEST(pool.Task("watch").losses.empty());
}

// Guards against a task that is stopped without a place to start again: on each of the other
// workers it is kept from starting by another rule.
BOOST_AUTO_TEST_CASE(TaskStaysWhileNoOtherWorkerCanRunIt) {
  StepSpec step = LongRunning(2, 1000);
  step.required_label = "disk";
  step.max_per_worker = 1;
  LeavingPool pool;
  for (const char* id : {"w1", "w2"}) {
    WorkerDescription worker = Fixture::Worker(id, 2000);
    worker.labels = {"disk"};
    pool.Add(worker);
  }
  pool.AddJob(Fixture::Job("watch", {step}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), 2U);
  pool.Add(Fixture::Worker("unlabelled", 2000));
  WorkerDescription small = Fixture::Worker("small", 500);
  small.labels = {"disk"};
  pool.Add(small);
  pool.Leave("w1");
  for (int i = 0; i < 20; ++i) {
    pool.Advance(absl::Milliseconds(100));
    pool.ReportRunning("w1");
    pool.ReportRunning("w2");
    BOOST_TEST(pool.Orders().empty());
  }
  // It moves as soon as there is a place.
  WorkerDescription added = Fixture::Worker("w3", 1000);
  added.labels = {"disk"};
  pool.Add(added);
  const std::vector<SentOrder> stops = pool.Orders();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  pool.EndStopped(stops[0]);
  const std::vector<SentOrder> starts = Starts(pool.Orders());
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].worker.value() == "w3");
}

// Guards against a stopped task whose place is taken during the stop, by waiting work of a higher
// priority or by work that arrives meanwhile.
BOOST_AUTO_TEST_CASE(PlaceIsHeldDuringTheStop) {
  LeavingPool pool;
  pool.StartOn("w1", Fixture::Job("watch", {LongRunning(1, 1000)}, 2, /*priority=*/5));
  pool.Leave("w1");
  pool.AddJob(Fixture::Job("before", {Fixture::Step(5, 1000)}));
  pool.Add(Fixture::Worker("w2", 1000));
  const std::vector<SentOrder> stops = pool.Orders();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST((stops[0].order.kind == WorkerOrder::Kind::kStop));
  pool.AddJob(Fixture::Job("during", {Fixture::Step(5, 1000)}));
  for (int i = 0; i < 8; ++i) {
    pool.Advance(absl::Milliseconds(100));
    pool.ReportRunning("w1");
    BOOST_TEST(pool.Orders().empty());
  }
  pool.EndStopped(stops[0]);
  const std::vector<SentOrder> starts = pool.Orders();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].order.key.task == "watch.0.0.0");
}

// Guards against capacity that idles for a stop that never ends.
BOOST_AUTO_TEST_CASE(PlaceIsNotHeldForLong) {
  LeavingPool pool;
  pool.StartOn("w1", Fixture::Job("watch", {LongRunning(1, 1000)}));
  pool.Add(Fixture::Worker("w2", 1000));
  pool.Leave("w1");
  BOOST_REQUIRE_EQUAL(Stops(pool.Orders()).size(), 1U);
  pool.AddJob(Fixture::Job("batch", {Fixture::Step(1, 1000)}));
  pool.Advance(absl::Milliseconds(2500));
  pool.ReportRunning("w1");
  pool.ReportRunning("w2");
  BOOST_TEST(Starts(pool.Orders()).size() == 1U);
}

// Guards against two moved tasks of which one takes the place of the other, which can run nowhere
// else.
BOOST_AUTO_TEST_CASE(MovedTasksStartOnTheWorkersHeldForThem) {
  StepSpec bound = LongRunning(1, 1000);
  bound.required_label = "disk";
  LeavingPool pool;
  WorkerDescription first = Fixture::Worker("w1", 2000);
  first.labels = {"disk"};
  pool.Add(first);
  pool.AddJob(Fixture::Job("a", {LongRunning(1, 1000)}));
  pool.AddJob(Fixture::Job("b", {bound}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), 2U);
  WorkerDescription labelled = Fixture::Worker("w2", 1000);
  labelled.labels = {"disk"};
  pool.Leave("w1");
  // Task a is planned first, for the only place that there is.
  pool.Add(Fixture::Worker("w3", 1000));
  const std::vector<SentOrder> stop_of_a = pool.Orders();
  BOOST_REQUIRE_EQUAL(stop_of_a.size(), 1U);
  pool.Add(labelled);
  const std::vector<SentOrder> stop_of_b = pool.Orders();
  BOOST_REQUIRE_EQUAL(stop_of_b.size(), 1U);
  pool.EndStopped(stop_of_a[0]);
  pool.EndStopped(stop_of_b[0]);
  std::map<std::string, std::string> worker_of;
  for (const SentOrder& sent : Starts(pool.Orders())) {
    worker_of[sent.order.key.task] = sent.worker.value();
  }
  BOOST_TEST(worker_of["a.0.0.0"] == "w3");
  BOOST_TEST(worker_of["b.0.0.0"] == "w2");
}

// Guards against a second task of a step that is stopped for a worker which may run only one of
// them.
BOOST_AUTO_TEST_CASE(MovesKeepTheLimitOfTasksPerWorker) {
  StepSpec step = LongRunning(2, 1000);
  step.max_per_worker = 1;
  LeavingPool pool;
  pool.Add(Fixture::Worker("w1", 1000));
  pool.Add(Fixture::Worker("w2", 1000));
  pool.AddJob(Fixture::Job("watch", {step}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), 2U);
  pool.Add(Fixture::Worker("w3", 4000));
  pool.Leave("w1");
  pool.Leave("w2");
  const std::vector<SentOrder> stops = pool.Orders();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  pool.Advance(absl::Milliseconds(100));
  BOOST_TEST(pool.Orders().empty());
  pool.EndStopped(stops[0]);
  const std::vector<SentOrder> orders = pool.Orders();
  BOOST_REQUIRE_EQUAL(orders.size(), 1U);
  BOOST_TEST((orders[0].order.kind == WorkerOrder::Kind::kStart));
  BOOST_TEST(orders[0].worker.value() == "w3");
}

// Guards against lost work: tasks that end by themselves may end before the worker leaves, and a
// member of a gang cannot be moved alone.
BOOST_AUTO_TEST_CASE(FiniteTasksAndGangsAreNotMoved) {
  StepSpec gang = LongRunning(2, 500);
  gang.gang = true;
  LeavingPool pool;
  pool.Add(Fixture::Worker("w1", 2000));
  pool.AddJob(Fixture::Job("batch", {Fixture::Step(1, 1000)}));
  pool.AddJob(Fixture::Job("gang", {gang}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), 3U);
  pool.Add(Fixture::Worker("w2", 4000));
  pool.Leave("w1");
  for (int i = 0; i < 10; ++i) {
    pool.Advance(absl::Milliseconds(100));
    pool.ReportRunning("w1");
    BOOST_TEST(pool.Orders().empty());
  }
}

// Guards against further stop orders for a task that is stopped already, to be moved or because its
// job was cancelled.
BOOST_AUTO_TEST_CASE(AttemptThatIsBeingStoppedIsLeftAlone) {
  LeavingPool pool;
  pool.Add(Fixture::Worker("w1", 2000));
  pool.AddJob(Fixture::Job("cancelled", {LongRunning(1, 1000)}));
  pool.AddJob(Fixture::Job("moved", {LongRunning(1, 1000)}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), 2U);
  pool.Add(Fixture::Worker("w2", 4000));
  pool.scheduler().CancelJob(JobId("cancelled"), pool.Now());
  pool.Leave("w1");
  BOOST_TEST(Stops(pool.Orders()).size() == 2U);
  for (int i = 0; i < 9; ++i) {
    pool.Advance(absl::Milliseconds(100));
    pool.ReportRunning("w1");
    BOOST_TEST(pool.Orders().empty());
  }
  const std::vector<Event> events = pool.Events(EventCode::kTaskPreempted);
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_TEST(events[0].fields.at(event_field::kTask) == "moved.0.0.0");
}

// Guards against a step that is out of service as a whole while its tasks are moved.
BOOST_AUTO_TEST_CASE(FewTasksAreMovedAtATime) {
  constexpr int kTasks = 20;
  LeavingPool pool;
  pool.Add(Fixture::Worker("w1", kTasks * 100));
  pool.AddJob(Fixture::Job("watch", {LongRunning(kTasks, 100)}));
  BOOST_REQUIRE_EQUAL(pool.StartAll().size(), static_cast<size_t>(kTasks));
  pool.Add(Fixture::Worker("w2", kTasks * 100));
  pool.Leave("w1");
  std::vector<SentOrder> stopping = Stops(pool.Orders());
  BOOST_TEST(stopping.size() == kMaxMoves);
  size_t moved = 0;
  while (!stopping.empty()) {
    pool.Advance(absl::Milliseconds(100));
    pool.EndStopped(stopping.back());
    stopping.pop_back();
    const std::vector<SentOrder> orders = pool.Orders();
    moved += Starts(orders).size();
    for (const SentOrder& stop : Stops(orders)) {
      stopping.push_back(stop);
    }
    BOOST_TEST(stopping.size() <= kMaxMoves);
  }
  BOOST_TEST(moved == static_cast<size_t>(kTasks));
}

// Guards against a task that is stopped on a worker which cannot confirm the stop: it would wait
// for the end of the lease although it might run until then.
BOOST_AUTO_TEST_CASE(TaskOnAWorkerThatDoesNotAnswerIsNotMoved) {
  LeavingPool pool;
  pool.StartOn("w1", Fixture::Job("watch", {LongRunning(1, 1000)}));
  pool.Add(Fixture::Worker("w2", 1000));
  pool.scheduler().HoldFailed(WorkerId("w1"), pool.Now());
  pool.Leave("w1");
  BOOST_TEST(pool.Orders().empty());
  pool.Advance(absl::Milliseconds(100));
  pool.ReportRunning("w1");
  BOOST_TEST(Stops(pool.Orders()).size() == 1U);
}

// Guards against a task that may run on two workers: while a new owner does not know what runs on
// the other workers, it could not start the stopped task again.
BOOST_AUTO_TEST_CASE(InheritedTaskIsNotMovedBeforeItMayStartAgain) {
  Fixture fixture;
  const JobIntake job = Fixture::Job("watch", {LongRunning(1, 1000)});
  WorkerDescription leaving = Fixture::Worker("w1", 1000);
  leaving.draining = true;
  fixture.TakeOver({job}, {leaving, Fixture::Worker("w2", 1000), Fixture::Worker("silent", 1000)});
  const AttemptKey inherited{"watch.0.0.0", RunNumber(1)};
  fixture.Report("w1", {Fixture::Running(inherited)});
  fixture.Report("w2", {});
  BOOST_TEST(fixture.Round().empty());
  fixture.Report("silent", {});
  fixture.Report("w1", {Fixture::Running(inherited)});
  const std::vector<SentOrder> orders = fixture.Round();
  BOOST_REQUIRE_EQUAL(orders.size(), 1U);
  BOOST_TEST((orders[0].order.kind == WorkerOrder::Kind::kStop));
}

// A long-running job that runs on a worker and whose tickets have all expired.
class AdvisedPool : public LeavingPool {
 public:
  AdvisedPool() {
    Add(Worker("w1", 1000));
    Add(Worker("w2", 1000));
    AddAdvisedJob("watch", LongRunning(1, 1000));
    AnswerQuestion(RunAdviceRound(1), {"w1", "w2"});
    first_ = StartAll().at(0).worker.value();
    other_ = first_ == "w1" ? "w2" : "w1";
    Advance(absl::Seconds(10));
    ReportRunning("w1");
    ReportRunning("w2");
    BOOST_TEST(Orders().empty());
  }
  // Workers that the job's task runs on, and could be moved to.
  const std::string& first() const { return first_; }
  const std::string& other() const { return other_; }

 private:
  std::string first_;
  std::string other_;
};

// Guards against a task that is stopped while its ticket for the next worker has expired, so that
// it waits for the adviser, and against loss of the place during the question.
BOOST_AUTO_TEST_CASE(TaskIsMovedOnceItHasATicketThatLasts) {
  AdvisedPool pool;
  pool.Leave(pool.first());
  const ScheduledOrders asking = pool.scheduler().Schedule(pool.Now());
  BOOST_TEST(asking.orders.empty());
  BOOST_REQUIRE_EQUAL(asking.advice.size(), 1U);
  BOOST_REQUIRE_EQUAL(asking.advice[0].question.workers.size(), 1U);
  BOOST_TEST(asking.advice[0].question.workers[0].value() == pool.other());
  pool.AddJob(Fixture::Job("batch", {Fixture::Step(1, 1000)}));
  pool.Advance(absl::Seconds(1));
  pool.ReportRunning("w1");
  pool.ReportRunning("w2");
  BOOST_TEST(pool.Orders().empty());
  pool.AnswerQuestion(asking.advice[0], {pool.other()}, /*age=*/absl::Milliseconds(500));
  const std::vector<SentOrder> stops = pool.Orders();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST(stops[0].worker.value() == pool.first());
  pool.Advance(absl::Milliseconds(850));
  pool.EndStopped(stops[0]);
  const std::vector<SentOrder> starts = pool.Orders();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].order.key.task == "watch.0.0.0");
  BOOST_TEST(starts[0].order.ticket == "ticket");
}

// Guards against a stop under a ticket that expires before the stop has ended.
BOOST_AUTO_TEST_CASE(TicketThatExpiresDuringTheStopIsRenewedBefore) {
  AdvisedPool pool;
  pool.Leave(pool.first());
  pool.AnswerQuestion(pool.RunAdviceRound(1), {pool.other()}, /*age=*/absl::Milliseconds(1200));
  pool.ReportRunning("w1");
  pool.ReportRunning("w2");
  const ScheduledOrders renewing = pool.scheduler().Schedule(pool.Now());
  BOOST_TEST(renewing.orders.empty());
  BOOST_REQUIRE_EQUAL(renewing.advice.size(), 1U);
  pool.AnswerQuestion(renewing.advice[0], {pool.other()});
  BOOST_TEST(Stops(pool.Orders()).size() == 1U);
}

// Guards against a task that waits for the adviser after the loss of a worker that had announced
// it, and against a loss that is held against the task: nothing could be done before, since no
// other worker had room.
BOOST_AUTO_TEST_CASE(TaskLostWithALeavingWorkerStartsAtOnce) {
  AdvisedPool pool;
  pool.AddJob(Fixture::Job("batch", {Fixture::Step(1, 1000)}));
  const SentOrder filler = pool.StartAll().at(0);
  BOOST_REQUIRE_EQUAL(filler.worker.value(), pool.other());
  pool.Leave(pool.first());
  pool.Advance(absl::Seconds(2));
  pool.ReportRunning(pool.first());
  pool.Exit(pool.first());
  bool restarted = false;
  absl::Time lost = absl::InfiniteFuture();
  for (int i = 0; i < 80 && !restarted; ++i) {
    pool.Advance(absl::Milliseconds(100));
    if (i == 50) {
      pool.EndStopped(filler, AttemptEnd::kSucceeded);
    } else {
      pool.ReportRunning(pool.other());
    }
    const ScheduledOrders scheduled = pool.scheduler().Schedule(pool.Now());
    for (const AdviceRequest& request : scheduled.advice) {
      pool.AnswerQuestion(request, {pool.other()});
    }
    if (pool.Task("watch").phase == TaskPhase::kWaiting) {
      lost = std::min(lost, pool.Now());
    }
    restarted = !pool.Events(EventCode::kTaskWorkerLost).empty() &&
                pool.Task("watch").phase == TaskPhase::kActive;
  }
  BOOST_TEST(restarted);
  // The round that finds the loss starts the task.
  BOOST_TEST((lost == absl::InfiniteFuture()));
  BOOST_TEST(pool.Task("watch").losses.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
