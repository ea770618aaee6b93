#ifndef POMELOTRAY_TESTS_CELL_JOB_IDENTITY_FIXTURE_H_
#define POMELOTRAY_TESTS_CELL_JOB_IDENTITY_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/system_clock.h"
#include "cell/cell_node.h"
#include "cell/records/cell_keys.h"
#include "peer/socket.h"
#include "tests/cell/eventually.h"
#include "tests/cell/pool_owner_fixture.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {

// Several instances with one fake store and two pools, "rendering" and "labels". Each task succeeds
// as soon as it is started. Workers of "labels" have ids that begin with "l".
class JobIdentityFixture {
 public:
  static constexpr int kInstances = 2;

  JobIdentityFixture() {
    workers_.AddWorkers("l", Labels(), 2);
    for (const PoolName& pool : {Rendering(), Labels()}) {
      store_.Put(cell_keys::PartCount(pool), "1");
    }
    limits_.task_lease = kLongTaskLease;
  }

  static PoolName Rendering() { return PoolName("rendering"); }
  static PoolName Labels() { return PoolName("labels"); }
  static PartName PartOf(const PoolName& pool) { return PartName(pool.value() + ".0.1"); }

  // Starts all instances, each with the given route of the queue.
  void Start(int64_t version, const PoolName& pool) {
    for (int i = 0; i < kInstances; ++i) {
      CellNodeContext context;
      context.id = InstanceId(absl::StrCat(++started_));
      context.peer_address = UnusedAddress();
      context.limits = limits_;
      context.store = &store_;
      context.directory = &workers_;
      context.connector = &workers_;
      context.clock = &clock_;
      context.hybrid_clock = &hybrid_clock_;
      context.events = &events_;
      nodes_.push_back(std::make_unique<CellNode>(std::move(context)));
      BOOST_REQUIRE(Capture([&] { return nodes_.back()->Start(); }).ok());
      Apply(i, version, pool);
    }
    WaitForOwners();
  }
  // All instances lose power and others take their place.
  void Replace(int64_t version, const PoolName& pool) {
    nodes_.clear();
    store_.ExpireAllLeases();
    Start(version, pool);
  }
  // Puts a version in force on one instance that sends the queue to the pool.
  void Apply(int instance, int64_t version, const PoolName& pool) {
    std::shared_ptr<CellConfiguration> configuration = std::make_shared<CellConfiguration>();
    configuration->version = version;
    configuration->pools = {Rendering(), Labels()};
    configuration->routes = {Route(pool)};
    BOOST_REQUIRE(nodes_[instance]->ApplyConfiguration(configuration));
  }
  void ApplyAtAll(int64_t version, const PoolName& pool) {
    for (int i = 0; i < kInstances; ++i) {
      Apply(i, version, pool);
    }
  }

  // The calls below return "ok" or the kind of the error, unless noted otherwise.
  std::string Submit(int instance, const std::string& id) {
    return Submit(instance, id, OneTask());
  }
  std::string Submit(int instance, const std::string& id, WorkflowSpec spec) {
    return Name(Capture([&] {
      return Service(instance).Submit(RouteAt(instance), JobId(id), spec, CallerRights(),
                                      Deadline());
    }));
  }
  // The client waits for this long only.
  std::string SubmitWithin(absl::Duration wait, int instance, const std::string& id) {
    return Name(Capture([&] {
      return Service(instance).Submit(RouteAt(instance), JobId(id), OneTask(), CallerRights(),
                                      clock_.Now() + wait);
    }));
  }
  std::string Cancel(int instance, const std::string& id) {
    return Name(Capture([&] {
      return Service(instance).Cancel(RouteAt(instance), JobId(id), CallerRights(), Deadline());
    }));
  }
  // Returns the name of the job's state, or of the kind of the error.
  std::string State(int instance, const std::string& id) {
    const Outcome<CellJobState> state = Capture([&] {
      return Service(instance).State(RouteAt(instance), JobId(id), CallerRights(), Deadline());
    });
    return std::string(state.ok() ? CellJobStateName(state.value())
                                  : ErrorKindName(state.error().kind));
  }
  // Returns the number of waiting jobs, or -1 after an error.
  int64_t Pending(int instance) {
    const Outcome<int64_t> pending =
        Capture([&] { return Service(instance).Pending(RouteAt(instance), Deadline()); });
    return pending.ok() ? pending.value() : -1;
  }
  bool Reaches(int instance, const std::string& id, const std::string& state) {
    return Eventually([&] { return State(instance, id) == state; });
  }

  static WorkflowSpec OneTask(int64_t cpu = 1000) {
    WorkflowSpec spec;
    spec.steps = {SchedulerFixture::Step(1, cpu)};
    return spec;
  }
  // No worker is large enough for the task, so that the job waits.
  static WorkflowSpec WaitingTask() { return OneTask(2000); }

  FakeStore& store() { return store_; }
  SimulatedWorkers& workers() { return workers_; }
  PoolLimits& limits() { return limits_; }
  const Clock& clock() const { return clock_; }
  CellNode& node(int instance) { return *nodes_[instance]; }

 private:
  static std::string UnusedAddress() {
    Outcome<FileDescriptor> listener = Capture([] { return ListenOn("127.0.0.1:0"); });
    BOOST_REQUIRE(listener.ok());
    return absl::StrCat("127.0.0.1:", LocalPort(listener.value()));
  }
  static QueueRoute Route(const PoolName& pool) {
    QueueRoute route;
    route.host = "h";
    route.path_prefix = "/q/";
    route.policy = SchedulerFixture::Job("", {}).policy;
    route.policy.pool = pool;
    return route;
  }
  static std::string Name(const Outcome<void>& outcome) {
    return outcome.ok() ? "ok" : std::string(ErrorKindName(outcome.error().kind));
  }
  CellService& Service(int instance) { return nodes_[instance]->service(); }
  QueueRoute RouteAt(int instance) {
    return *Service(instance).configuration()->FindRoute("h", "/q/1");
  }
  absl::Time Deadline() const { return clock_.Now() + absl::Seconds(20); }
  void WaitForOwners() {
    for (const PoolName& pool : {Rendering(), Labels()}) {
      BOOST_REQUIRE(
          Eventually([&] { return store_.Peek(cell_keys::Claim(PartOf(pool))).has_value(); }));
    }
    for (int i = 0; i < kInstances; ++i) {
      BOOST_REQUIRE(Eventually([&] { return Pending(i) >= 0; }));
    }
  }

  SystemClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  FakeStore store_{&clock_};
  SimulatedWorkers workers_{2};
  PoolLimits limits_;
  int started_ = 0;
  std::vector<std::unique_ptr<CellNode>> nodes_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_JOB_IDENTITY_FIXTURE_H_
