#include "daemon/daemon.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_sink.h"

namespace pomelotray {
namespace {

// A handler blocks while an executor serves its request. The limit covers all 280 slots of a pool
// of 35 executors and leaves some threads for other messages.
constexpr size_t kPeerHandlerThreads = 320;

std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

bool IsLoopback(const SocketAddress& address) { return address.ToString().rfind("127.", 0) == 0; }

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      hybrid_clock_(&clock_),
      events_(settings.instance.value(), &hybrid_clock_, MakeLogSink(settings.log_file)),
      registry_(std::make_shared<prometheus::Registry>()) {}

Daemon::~Daemon() { Stop(); }

Result<void> Daemon::Start() {
  events_.Record(EventCode::kProcessStarted).Emit();
  if (settings_.operator_token.empty() && !IsLoopback(settings_.api_address)) {
    events_.Record(EventCode::kOpenListenerWithoutToken)
        .With("address", settings_.api_address.ToString())
        .Emit();
  }
  BOOST_LEAF_CHECK(BuildPeers());
  BOOST_LEAF_CHECK(BuildState());
  BuildServices();
  PeerLimits limits;
  limits.worker_threads = kPeerHandlerThreads;
  BOOST_LEAF_ASSIGN(
      peer_server_,
      PeerServer::Builder()
          .ListenAddress(settings_.peer_address.ToString())
          .Instance(settings_.instance)
          .SharedKey(settings_.peer_key)
          .Time(&hybrid_clock_, &clock_)
          .Events(&events_)
          .Handler([this](const PeerCall& call) { return peer_service_->Handle(call); })
          .Classifier([this](const std::string& address) { return Classify(address); })
          .Limits(limits)
          .Build());
  started_ = true;
  BOOST_LEAF_CHECK(api_->Start(settings_.api_address));
  lease_->Start();
  membership_->Start();
  contracts_->Start();
  slices_->Start();
  configuration_sync_->Start();
  host_->Start();
  metrics_ = std::make_unique<MetricsExporter>(
      registry_.get(), peer_client_.get(), peer_server_.get(), store_.get(), host_.get(), &clock_);
  metrics_->Start();
  events_.Record(EventCode::kProcessReady).Emit();
  return {};
}

void Daemon::Stop() {
  if (!started_) {
    return;
  }
  started_ = false;
  events_.Record(EventCode::kProcessDraining).Emit();
  cluster_->BeginShutdown();
  api_->BeginDrain();
  membership_->AnnounceLeaving();
  clock_.SleepFor(settings_.drain_delay);
  // After the shards are handed over, the API still forwards requests to the new owners until the
  // last request is answered.
  host_->Stop();
  api_->Stop();
  peer_server_->Stop();
  if (metrics_ != nullptr) {
    metrics_->Stop();
  }
  configuration_sync_->Stop();
  slices_->Stop();
  contracts_->Stop();
  membership_->Stop();
  peer_client_->Stop();
  lease_->Stop();
  events_.Record(EventCode::kProcessStopped).Emit();
}

Result<void> Daemon::BuildPeers() {
  BOOST_LEAF_ASSIGN(peer_client_, PeerClient::Builder()
                                      .Instance(settings_.instance)
                                      .SharedKey(settings_.peer_key)
                                      .Time(&hybrid_clock_, &clock_)
                                      .Events(&events_)
                                      .Classifier([this](const std::string& address) {
                                        return Classify(address);
                                      })
                                      .Build());
  BOOST_LEAF_ASSIGN(
      membership_,
      Membership::Builder()
          .Identity(settings_.instance, settings_.region, settings_.domain)
          .Addresses(settings_.peer_address.ToString(), settings_.api_address.ToString())
          .Incarnation(absl::ToUnixMicros(clock_.Now()))
          .Port(peer_client_.get())
          .Time(&clock_)
          .Events(&events_)
          .ConfigurationRevision([this] { return contracts_->revision(); })
          .OwnedShards([this] { return host_->OwnedShards(); })
          .OnHigherRevision([this](const Member&) { configuration_sync_->Wake(); })
          .Build());
  return {};
}

Result<void> Daemon::BuildState() {
  http_store_ = HttpStore::Builder()
                    .SetAddress(settings_.store_address)
                    .SetClock(&clock_)
                    .SetHybridClock(&hybrid_clock_)
                    .Build();
  vm_list_ = HttpVmList::Builder()
                 .SetAddress(settings_.vm_list_address)
                 .SetClock(&clock_)
                 .SetHybridClock(&hybrid_clock_)
                 .SetEvents(&events_)
                 .Build();
  workers_ = HttpWorker::Builder().SetClock(&clock_).SetHybridClock(&hybrid_clock_).Build();
  executors_ = HttpExecutor::Builder().SetClock(&clock_).SetHybridClock(&hybrid_clock_).Build();
  store_ = std::make_unique<BudgetedStore>(StateContext{http_store_.get(), &clock_, &events_});
  const StateContext state{store_.get(), &clock_, &events_};
  InstanceRecord record;
  record.id = settings_.instance;
  record.domain = settings_.domain;
  record.region = settings_.region;
  record.peer_address = settings_.peer_address.ToString();
  record.incarnation = absl::ToUnixMicros(clock_.Now());
  lease_ = std::make_unique<InstanceLease>(state, record);
  claims_ = std::make_unique<ShardClaims>(state, settings_.instance, record.peer_address);
  contracts_ =
      std::make_unique<ConfigurationCache>(state, [this] { return ShouldWatchConfiguration(); });
  slices_ = std::make_unique<SliceManager>(state, [this] { return contracts_->All(); });
  return {};
}

void Daemon::BuildServices() {
  configuration_sync_ = std::make_unique<ConfigurationSync>(peer_client_.get(), membership_.get(),
                                                            contracts_.get(), &clock_);
  ShardHostContext host;
  host.clock = &clock_;
  host.events = &events_;
  host.store = store_.get();
  host.lease = lease_.get();
  host.claims = claims_.get();
  host.directory = &directory_;
  host.membership = membership_.get();
  host.contracts = contracts_.get();
  host.slices = slices_.get();
  host.vm_list = vm_list_.get();
  host.workers = workers_.get();
  host.executors = executors_.get();
  ShardHostOptions options;
  options.self = settings_.instance;
  options.domain = settings_.domain;
  options.task_lease = settings_.task_lease;
  options.job_retention = settings_.job_retention;
  host_ = std::make_unique<ShardHost>(host, options);
  router_ = std::make_unique<ShardRouter>(
      ShardRouter::Context{&clock_, settings_.instance, peer_client_.get(), &directory_,
                           membership_.get(), claims_.get(), store_.get()});
  ClusterService::Context cluster;
  cluster.clock = &clock_;
  cluster.events = &events_;
  cluster.self = settings_.instance;
  cluster.region = settings_.region;
  cluster.domain = settings_.domain;
  cluster.peer_address = settings_.peer_address.ToString();
  cluster.host = host_.get();
  cluster.router = router_.get();
  cluster.directory = &directory_;
  cluster.membership = membership_.get();
  cluster.contracts = contracts_.get();
  cluster.peers = peer_client_.get();
  cluster_ = std::make_unique<ClusterService>(cluster);
  peer_service_ = std::make_unique<PeerService>(PeerService::Context{
      &clock_, &events_, host_.get(), cluster_.get(), membership_.get(), contracts_.get()});
  HttpApiServer::Dependencies api;
  api.service = cluster_.get();
  api.events = &events_;
  api.clock = &clock_;
  api.registry = registry_.get();
  api_ = HttpApiServer::Builder(api).OperatorToken(settings_.operator_token).Build();
}

LinkClass Daemon::Classify(const std::string& address) const {
  std::optional<VmEntry> remote;
  for (const VmEntry& vm : directory_.vms()) {
    if (vm.address == address) {
      remote = vm;
      break;
    }
    if (vm.role == VmRole::kEntry && IpOf(vm.address) == IpOf(address)) {
      remote = vm;
    }
  }
  if (!remote.has_value() || remote->domain == settings_.domain) {
    return LinkClass::kDomain;
  }
  return remote->region == settings_.region ? LinkClass::kRegion : LinkClass::kPaidLink;
}

bool Daemon::ShouldWatchConfiguration() const {
  // Only the live instance with the lowest id in each failure domain watches the configuration.
  const std::vector<Member> members = membership_->LiveInDomain(settings_.domain);
  return std::none_of(members.begin(), members.end(),
                      [this](const Member& member) { return member.id < settings_.instance; });
}

}  // namespace pomelotray
