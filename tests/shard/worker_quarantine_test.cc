#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/manual_clock.h"
#include "boost/test/unit_test.hpp"
#include "scheduler/shard_scheduler_builder.h"
#include "shard/task_lifecycle.h"
#include "tests/fakes/fake_store.h"
#include "tests/shard/fault_run.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kHeartbeat = absl::Minutes(1);
// Longer than the run time after which an attempt counts as a success.
constexpr absl::Duration kLongRun = absl::Hours(6);

const ShardId kShard{FailureDomainId("cuenca"), PoolName("rendering")};
const WorkerId kWorker("w1");
const BootId kBoot("boot");

// A simulated worker that runs every attempt until the test lets it fail.
class RunningAttempts : public CommandSink {
 public:
  explicit RunningAttempts(const Clock* clock) : clock_(clock) {}

  void SendStart(const WorkerId& /*worker*/, const TaskStart& start) override {
    attempts_[start.job] = {start, clock_->Now()};
  }
  void SendStartWhenDurable(const WorkerId& worker, const TaskStart& start,
                            uint64_t /*sequence*/) override {
    SendStart(worker, start);
  }
  void SendStop(const WorkerId& /*worker*/, const AttemptId& /*attempt*/,
                StopMode /*mode*/) override {}

  bool Runs(const std::string& job) const { return attempts_.count(JobId(job)) > 0; }
  void Remove(const std::string& job) { attempts_.erase(JobId(job)); }
  // The attempts of `failed_jobs` have failed; all others run.
  WorkerInventory Inventory(const std::set<std::string>& failed_jobs) const {
    WorkerInventory inventory;
    inventory.worker = kWorker;
    inventory.boot = kBoot;
    for (const auto& [job, attempt] : attempts_) {
      AttemptReport report;
      report.attempt = attempt.start.attempt;
      report.task = attempt.start.task;
      report.job = job;
      report.state =
          failed_jobs.count(job.value()) > 0 ? AttemptState::kFailed : AttemptState::kRunning;
      report.run_time = clock_->Now() - attempt.started_at;
      inventory.attempts.push_back(report);
    }
    return inventory;
  }

 private:
  struct Attempt {
    TaskStart start;
    absl::Time started_at;
  };

  const Clock* const clock_;
  std::map<JobId, Attempt> attempts_;
};

// One shard with one worker. Every job has one task.
struct QuarantineFixture {
  QuarantineFixture() {
    BOOST_TEST_REQUIRE(Capture([this] { return journal.Recover(); }).ok());
    scheduler->UpsertWorker(
        {kWorker, RackId("r1"), {MilliCores(64'000), MebiBytes(64'000), {}, {}}});
  }

  void Submit(const std::string& id, JobKind kind, bool repeatable = true) {
    JobRecord record;
    record.id = JobId(id);
    record.spec.customer = CustomerId("c");
    record.spec.pool = kShard.pool;
    record.spec.kind = kind;
    record.spec.repeatable = repeatable;
    record.spec.demand = {MilliCores(1000), MebiBytes(1000), {}, {}};
    record.accepted_at = clock.Now();
    TaskStatus task;
    task.task = MakeTaskId(record.id, 0);
    record.tasks.push_back(task);
    lifecycle.Accept(jobs.Insert(std::move(record)));
  }
  // Starts the queued tasks that the scheduler places.
  void Place() {
    for (const Placement& placement : scheduler->Schedule(1000).placements) {
      lifecycle.Place(placement, kBoot);
    }
    Report();
  }
  void Report(const std::set<std::string>& failed_jobs = {}) {
    lifecycle.Reconcile(kWorker, worker.Inventory(failed_jobs), /*after_fence=*/false);
  }
  // The worker's next report contains the failures of all these jobs.
  void FailAttempts(const std::set<std::string>& failed_jobs) {
    Report(failed_jobs);
    for (const std::string& job : failed_jobs) {
      worker.Remove(job);
    }
  }
  // Lets time pass; the worker reports at every heartbeat.
  void Run(absl::Duration duration) {
    for (absl::Duration run; run < duration; run += kHeartbeat) {
      clock.Advance(std::min(kHeartbeat, duration - run));
      Report();
    }
  }
  // Fails three attempts of two jobs soon after their starts.
  void FailThreeStarts() {
    for (const char* job : {"bad-1", "bad-2", "bad-3"}) {
      Submit(job, JobKind::kBatch, /*repeatable=*/false);
      Place();
      BOOST_TEST_REQUIRE(worker.Runs(job));
      Run(absl::Seconds(1));
      FailAttempts({job});
    }
  }
  // A job that may not be repeated starts only on a worker that is not quarantined.
  bool StartsUnrepeatableJob(const std::string& id) {
    Submit(id, JobKind::kBatch, /*repeatable=*/false);
    Place();
    return worker.Runs(id);
  }
  int64_t Events(EventCode code) const {
    const std::vector<Event> all = events.Select({});
    return std::count_if(all.begin(), all.end(),
                         [code](const Event& event) { return event.code == code; });
  }

  ManualClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"owner", &hybrid_clock};
  FakeStore store{&clock};
  Journal journal{StateContext{&store, &clock, &events}, kShard, InstanceId("owner"), 1};
  UnlimitedShardLimits limits;
  std::unique_ptr<ShardScheduler> scheduler =
      ShardSchedulerBuilder().SetClock(&clock).SetLimits(&limits).SetSeed(7).Build();
  JobTable jobs;
  RunningAttempts worker{&clock};
  TaskLifecycle lifecycle{
      TaskLifecycle::Context{&clock, &events, &journal, scheduler.get(), &worker, &jobs}};
};

BOOST_FIXTURE_TEST_SUITE(WorkerQuarantineTest, QuarantineFixture)

// Guards against a sound worker that is quarantined, and stays so, because services that had run on
// it for hours failed at some time.
BOOST_AUTO_TEST_CASE(LateFailuresOfServicesDoNotQuarantineTheWorker) {
  for (const char* job : {"s1", "s2", "s3"}) {
    Submit(job, JobKind::kService);
  }
  Place();
  for (const char* job : {"s1", "s2", "s3"}) {
    Run(kLongRun);
    FailAttempts({job});
  }
  BOOST_TEST(Events(EventCode::kWorkerQuarantined) == 0);
  Place();
  Run(absl::Hours(1));
  BOOST_TEST(!scheduler->IsQuarantined(kWorker));
  BOOST_TEST(StartsUnrepeatableJob("once"));
}

// Guards against a late failure that counts as a failed start because no earlier report showed the
// attempt running for long.
BOOST_AUTO_TEST_CASE(LateFailuresCountAsSuccessesWithoutEarlierReports) {
  for (const char* job : {"s1", "s2", "s3"}) {
    Submit(job, JobKind::kService);
  }
  Place();
  clock.Advance(kLongRun);
  FailAttempts({"s1", "s2", "s3"});
  BOOST_TEST(Events(EventCode::kWorkerQuarantined) == 0);
  BOOST_TEST(StartsUnrepeatableJob("once"));
}

// Guards against a quarantine that a service cannot end because it runs without an end.
BOOST_AUTO_TEST_CASE(RunningServiceEndsTheQuarantine) {
  FailThreeStarts();
  BOOST_TEST(scheduler->IsQuarantined(kWorker));
  Run(absl::Seconds(31));
  Submit("probe", JobKind::kService);
  Place();
  BOOST_TEST_REQUIRE(worker.Runs("probe"));
  Run(absl::Minutes(9));
  BOOST_TEST(scheduler->IsQuarantined(kWorker));
  Run(absl::Hours(1));
  BOOST_TEST(!scheduler->IsQuarantined(kWorker));
  BOOST_TEST(Events(EventCode::kWorkerRestored) == 1);
  BOOST_TEST(StartsUnrepeatableJob("once"));
}

// Guards against a faulty worker that is never quarantined, or released at once, because a service
// that started on it earlier keeps running.
BOOST_AUTO_TEST_CASE(LongRunCountsOnce) {
  Submit("service", JobKind::kService);
  Place();
  Run(kLongRun);
  FailThreeStarts();
  BOOST_TEST(scheduler->IsQuarantined(kWorker));
  Run(absl::Hours(1));
  BOOST_TEST(scheduler->IsQuarantined(kWorker));
  BOOST_TEST(Events(EventCode::kWorkerRestored) == 0);
  BOOST_TEST(!StartsUnrepeatableJob("once"));
}

// Guards against services that are exempt from the detection of faulty workers.
BOOST_AUTO_TEST_CASE(EarlyFailuresOfServicesQuarantineTheWorker) {
  for (const char* job : {"s1", "s2", "s3"}) {
    Submit(job, JobKind::kService);
  }
  Place();
  Run(absl::Minutes(9));
  FailAttempts({"s1", "s2", "s3"});
  BOOST_TEST(scheduler->IsQuarantined(kWorker));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
