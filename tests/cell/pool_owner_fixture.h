#ifndef POMELOTRAY_TESTS_CELL_POOL_OWNER_FIXTURE_H_
#define POMELOTRAY_TESTS_CELL_POOL_OWNER_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/system_clock.h"
#include "cell/ownership/pool_owner.h"
#include "cell/records/cell_keys.h"
#include "tests/cell/eventually.h"
#include "tests/cell/scheduler_fixture.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {

// How long a simulated worker waits before it answers a hold.
inline constexpr absl::Duration kHoldWait = absl::Milliseconds(500);

// Shorter than in production, since one test waits until it expires.
inline constexpr absl::Duration kTaskLease = absl::Seconds(2);
// Longer than any test takes, for tests in which no lease may expire.
inline constexpr absl::Duration kLongTaskLease = absl::Minutes(5);

// Simulates all workers of a pool on one thread. Each worker accepts every start, and the task
// succeeds at once.
class SimulatedWorkers : public WorkerConnector, public WorkerDirectory {
 public:
  explicit SimulatedWorkers(int count) { AddWorkers("w", PoolName("rendering"), count); }

  // Adds workers whose ids begin with `prefix`. Called before the first call of List().
  void AddWorkers(const std::string& prefix, const PoolName& pool, int count) {
    for (int i = 0; i < count; ++i) {
      listed_.push_back(SchedulerFixture::Worker(absl::StrCat(prefix, i), 1000));
      listed_.back().pool = pool;
    }
  }

  std::unique_ptr<WorkerChannel> Connect(const WorkerDescription& worker) override {
    return std::make_unique<Channel>(this, worker.id);
  }
  void Post(std::function<void()> task) override { loop_.RunAfter(absl::ZeroDuration(), task); }
  Result<std::vector<WorkerDescription>> List() override { return listed_; }

  // While a worker is cut off, no call to it is answered.
  void SetCutOff(const WorkerId& id, bool cut_off) {
    absl::MutexLock lock(&mutex_);
    if (cut_off) {
      cut_off_.insert(id);
    } else {
      cut_off_.erase(id);
    }
  }

  // Returns the worker of the last start.
  WorkerId LastStartedOn() const {
    absl::MutexLock lock(&mutex_);
    return last_started_on_;
  }
  // Number of different tasks that were started.
  size_t StartedTasks() const {
    absl::MutexLock lock(&mutex_);
    return tasks_.size();
  }
  // Number of starts, including repeated starts of a task.
  int Starts() const {
    absl::MutexLock lock(&mutex_);
    return starts_;
  }

 private:
  class Channel : public WorkerChannel {
   public:
    Channel(SimulatedWorkers* workers, WorkerId id) : workers_(workers), id_(std::move(id)) {}
    void Start(const StartOrder& order, Done<OrderAnswer> done) override {
      workers_->Start(id_, order.key);
      workers_->Post([done] { done(OrderAnswer::kAccepted); });
    }
    void Stop(const AttemptKey&, FencingToken, Done<OrderAnswer> done) override {
      workers_->Post([done] { done(OrderAnswer::kAccepted); });
    }
    void Throttle(const AttemptKey&, int, FencingToken, Done<OrderAnswer> done) override {
      workers_->Post([done] { done(OrderAnswer::kAccepted); });
    }
    void Hold(const HoldOrder& order, Done<HoldAnswer> done) override {
      SimulatedWorkers* const workers = workers_;
      workers->loop_.RunAfter(std::min(order.wait, kHoldWait),
                              [workers, id = id_, acknowledged = order.acknowledged, done] {
                                done(workers->Report(id, acknowledged));
                              });
    }

   private:
    SimulatedWorkers* const workers_;
    const WorkerId id_;
  };

  void Start(const WorkerId& id, const AttemptKey& key) {
    absl::MutexLock lock(&mutex_);
    ++starts_;
    tasks_.insert(key.task);
    last_started_on_ = id;
    std::vector<EndedAttempt>& ends = ended_[id];
    ends.push_back(EndedAttempt{EndNumber(static_cast<int64_t>(ends.size()) + 1), key,
                                AttemptEnd::kSucceeded, ""});
  }
  Outcome<HoldAnswer> Report(const WorkerId& id, EndNumber acknowledged) {
    absl::MutexLock lock(&mutex_);
    if (cut_off_.count(id) > 0) {
      return Error{ErrorKind::kOutcomeUnknown, "The worker did not answer.", std::nullopt};
    }
    HoldAnswer answer;
    answer.report.clock = WorkerTime(1000);
    answer.report.started_at = absl::UnixEpoch();
    for (const EndedAttempt& ended : ended_[id]) {
      if (ended.number > acknowledged) {
        answer.report.ended.push_back(ended);
      }
    }
    return answer;
  }

  std::vector<WorkerDescription> listed_;
  mutable absl::Mutex mutex_;
  std::set<std::string> tasks_ ABSL_GUARDED_BY(mutex_);
  int starts_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<WorkerId, std::vector<EndedAttempt>> ended_ ABSL_GUARDED_BY(mutex_);
  std::set<WorkerId> cut_off_ ABSL_GUARDED_BY(mutex_);
  WorkerId last_started_on_ ABSL_GUARDED_BY(mutex_);
  SystemClock clock_;
  TimerQueue loop_{&clock_};
};

// A pool owner with a fake store and simulated workers.
class PoolOwnerFixture {
 public:
  explicit PoolOwnerFixture(int workers, absl::Duration task_lease = kTaskLease)
      : task_lease_(task_lease),
        workers_(workers),
        membership_(MakeMembership("1")),
        advice_(InstanceId("a"), nullptr, nullptr, &clock_, &events_) {
    store_.Put(cell_keys::PartCount(PoolName("rendering")), "1");
  }

  static PartName Part() { return PartName("rendering.0.1"); }
  FakeStore& store() { return store_; }
  SimulatedWorkers& workers() { return workers_; }
  PoolOwner& owner() { return *owner_; }
  std::shared_ptr<PoolOwner> shared_owner() { return owner_; }
  CellMembership& membership() { return *membership_; }
  const Clock& clock() const { return clock_; }
  EventLog& events() { return events_; }

  void Submit(const std::string& id, int tasks) {
    store_.Put(cell_keys::Job(Part(), JobId(id)),
               EncodeIntake(SchedulerFixture::Job(id, {SchedulerFixture::Step(tasks, 1000)})));
  }
  // Claims the pool and starts an owner for it, which replaces an earlier one.
  void Start() {
    membership_->SetPools({PoolName("rendering")});
    membership_->Start();
    BOOST_REQUIRE(Eventually([this] { return membership_->ClaimOf(Part()).has_value(); }));
    PoolLimits limits;
    limits.task_lease = task_lease_;
    owner_ = std::make_shared<PoolOwner>(*membership_->ClaimOf(Part()), limits, MakeContext());
    owner_->Start();
  }
  // Stops the owner in order and starts the next one.
  void HandOver() {
    std::optional<StoreWrite> roster = owner_->PrepareHandover(clock_.Now() + kHandoverTimeout);
    BOOST_REQUIRE(roster.has_value());
    membership_->Resign({{Part(), std::move(*roster)}});
    owner_.reset();
    membership_ = MakeMembership("2");
    Start();
  }
  bool Completes(const std::string& id) {
    return Eventually([&] { return owner_->StateOf(JobId(id)) == CellJobState::kCompleted; });
  }

 private:
  static constexpr absl::Duration kHandoverTimeout = absl::Milliseconds(50);

  std::unique_ptr<CellMembership> MakeMembership(const std::string& incarnation) {
    return std::make_unique<CellMembership>(
        CellMember{InstanceId("a"), "a:1"}, incarnation, &store_, &clock_, &events_,
        CellMembership::Callbacks{[](const PartClaim&) {}, [](const PartName&) {},
                                  [] { return false; }});
  }
  PoolOwnerContext MakeContext() {
    PoolOwnerContext context;
    context.store = &store_;
    context.directory = &workers_;
    context.connector = &workers_;
    context.advice = &advice_;
    context.timers = &timers_;
    context.membership = membership_.get();
    context.clock = &clock_;
    context.events = &events_;
    context.claim_lost = [](const PartName&) {};
    return context;
  }

  const absl::Duration task_lease_;
  SystemClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  FakeStore store_{&clock_};
  SimulatedWorkers workers_;
  TimerQueue timers_{&clock_};
  std::unique_ptr<CellMembership> membership_;
  AdviceDispatcher advice_;
  std::shared_ptr<PoolOwner> owner_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_POOL_OWNER_FIXTURE_H_
