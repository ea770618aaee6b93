#include "cell/cell_node.h"

#include <algorithm>
#include <utility>

#include "cell/records/cell_keys.h"
#include "cell/store/store_failure.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

// Longest wait between two rounds of the maintenance thread, which passes the current members to
// the AdviceDispatcher and stores missing part counts.
constexpr absl::Duration kMaintenanceInterval = absl::Milliseconds(500);
// How long a planned handover waits for the task results of all parts to be stored. The next owners
// get the remaining ones from the workers.
constexpr absl::Duration kHandoverTimeout = absl::Milliseconds(300);
// A peer answers a store health query from memory. A call between regions takes 16 ms.
constexpr absl::Duration kStoreHealthTimeout = absl::Milliseconds(200);
constexpr absl::Duration kPeerKeyRetryDelay = absl::Milliseconds(200);

PeerLimits MakePeerLimits() {
  PeerLimits limits;
  // Threads are needed for blocking calls: two adviser calls for each of a few owners, and writes
  // on behalf of other instances.
  limits.worker_threads = 10;
  limits.heartbeat_threads = 0;
  limits.connect_timeout = absl::Milliseconds(500);
  // Half of the time after which a restarted owner is considered reachable again.
  limits.stall_timeout = absl::Seconds(2);
  limits.drain_timeout = absl::Seconds(2);
  return limits;
}

}  // namespace

CellNode::CellNode(CellNodeContext context)
    : context_(std::move(context)),
      store_(context_.store, context_.clock),
      timers_(context_.clock) {}

CellNode::~CellNode() { Stop(); }

Result<void> CellNode::Start() {
  BOOST_LEAF_CHECK(StartPeers());
  advice_ = std::make_unique<AdviceDispatcher>(context_.id, context_.adviser, peer_client_.get(),
                                               context_.clock, context_.events);
  membership_ = std::make_unique<CellMembership>(
      CellMember{context_.id, context_.peer_address, context_.cpu_milli, context_.clock->Now()},
      MakeNonceText(), &store_, context_.clock, context_.events,
      CellMembership::Callbacks{[this](const PartClaim& claim) { OnPartClaimed(claim); },
                                [this](const PartName& part) { OnPartLost(part); },
                                [this] { return IsStoreDownForAllMembers(); }});
  configuration_exchange_ = std::make_unique<ConfigurationExchange>(
      context_.id, peer_client_.get(), context_.clock, context_.events,
      [this] { return membership_->members(); },
      [this](const std::string& document, const InstanceId& peer) {
        if (context_.apply_document != nullptr) {
          context_.apply_document(document, peer);
        }
      });
  caps_ = MakeCapExchange();
  std::unique_ptr<CellService> service = std::make_unique<CellService>(
      context_.id, &store_, peer_client_.get(), membership_.get(), context_.clock, context_.events,
      [this](const PartName& part) { return FindOwner(part); });
  {
    // The peer server is running, so AnswerPeer() may read service_ concurrently.
    absl::MutexLock lock(&mutex_);
    service_ = std::move(service);
  }
  membership_->Start();
  configuration_exchange_->Start();
  caps_->Start();
  maintenance_thread_ = std::thread([this] { MaintenanceLoop(); });
  return {};
}

Result<std::string> CellNode::SharedPeerKey() {
  const std::string new_key = MakeNonceText() + MakeNonceText();
  for (;;) {
    const Outcome<std::optional<StoreEntry>> entry =
        Capture([this] { return context_.store->Get(cell_keys::kPeerKey); });
    if (entry.ok() && entry.value().has_value()) {
      return entry.value()->value;
    }
    if (entry.ok()) {
      StoreTransaction create;
      create.conditions = {StoreCondition{cell_keys::kPeerKey, Revision(0)}};
      create.writes = {StoreWrite{cell_keys::kPeerKey, new_key, EntryLifetime::Permanent()}};
      // Another instance may have created the key first, so the entry is read back in any case.
      const Outcome<Revision> written = Capture([&] { return context_.store->Commit(create); });
      if (!written.ok() && written.error().kind != ErrorKind::kConflict) {
        RecordStoreFailure(context_.events, "creation of the peer key", written.error());
      }
    }
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return Fail(ErrorKind::kUnavailable,
                  "The instance was stopped before it could read the peer key from the store.");
    }
    if (!entry.ok()) {
      context_.clock->WaitUntil(&changed_, &mutex_, context_.clock->Now() + kPeerKeyRetryDelay);
    }
  }
}

Result<void> CellNode::StartPeers() {
  BOOST_LEAF_AUTO(key, SharedPeerKey());
  BOOST_LEAF_ASSIGN(peer_client_, PeerClient::Builder()
                                      .Instance(context_.id)
                                      .SharedKey(key)
                                      .Time(context_.hybrid_clock, context_.clock)
                                      .Events(context_.events)
                                      .Limits(MakePeerLimits())
                                      .Build());
  BOOST_LEAF_ASSIGN(peer_server_,
                    PeerServer::Builder()
                        .ListenAddress(context_.peer_address)
                        .Instance(context_.id)
                        .SharedKey(key)
                        .Time(context_.hybrid_clock, context_.clock)
                        .Events(context_.events)
                        .Handler([this](const PeerCall& call) { return AnswerPeer(call); })
                        .Limits(MakePeerLimits())
                        .Build());
  return {};
}

std::unique_ptr<CapExchange> CellNode::MakeCapExchange() {
  CapExchangeContext context;
  context.self = context_.id;
  context.peers = peer_client_.get();
  context.clock = context_.clock;
  context.events = context_.events;
  context.claim_of = [this](const PartName& part) { return membership_->ClaimOf(part); };
  context.part_count = [this](const PoolName& pool) { return membership_->PartCount(pool); };
  context.find_owner = [this](const PartName& part) { return FindOwner(part); };
  return std::make_unique<CapExchange>(std::move(context));
}

Result<nlohmann::json> CellNode::AnswerPeer(const PeerCall& call) {
  {
    absl::MutexLock lock(&mutex_);
    if (service_ == nullptr) {
      return Fail(ErrorKind::kNotReady, "The instance is still starting; call again later.");
    }
  }
  if (call.method == "configuration") {
    return configuration_exchange_->Answer(call.body);
  }
  if (call.method == "caps") {
    return caps_->Answer(call);
  }
  return call.method == "advise" ? advice_->Answer(call.body) : service_->AnswerPeer(call);
}

void CellNode::HandOver() {
  std::map<PartName, std::shared_ptr<PoolOwner>> owners;
  {
    absl::MutexLock lock(&mutex_);
    owners = owners_;
  }
  for (const auto& [part, owner] : owners) {
    owner->StopOrders();
  }
  const absl::Time deadline = context_.clock->Now() + kHandoverTimeout;
  std::map<PartName, StoreWrite> last_writes;
  for (const auto& [part, owner] : owners) {
    std::optional<StoreWrite> write = owner->PrepareHandover(deadline);
    if (write.has_value()) {
      last_writes.emplace(part, std::move(*write));
    }
  }
  membership_->Resign(std::move(last_writes));
  for (auto& [part, owner] : owners) {
    owner->Halt();
    disposal_.Add(std::move(owner));
  }
}

void CellNode::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
    changed_.SignalAll();
    for (const auto& [part, owner] : owners_) {
      owner->Halt();
    }
  }
  if (configuration_exchange_ != nullptr) {
    configuration_exchange_->Stop();
  }
  if (caps_ != nullptr) {
    caps_->Stop();
  }
  if (membership_ != nullptr) {
    membership_->Stop();
  }
  if (maintenance_thread_.joinable()) {
    maintenance_thread_.join();
  }
  if (service_ != nullptr) {
    service_->Stop();
  }
  if (advice_ != nullptr) {
    advice_->Stop();
  }
  std::map<PartName, std::shared_ptr<PoolOwner>> owners;
  {
    absl::MutexLock lock(&mutex_);
    owners.swap(owners_);
    owners_to_start_.clear();
  }
  owners.clear();
  disposal_.Stop();
  if (peer_server_ != nullptr) {
    peer_server_->Stop();
  }
  if (peer_client_ != nullptr) {
    peer_client_->Stop();
  }
}

std::vector<std::shared_ptr<PoolOwner>> CellNode::Owners() const {
  absl::MutexLock lock(&mutex_);
  std::vector<std::shared_ptr<PoolOwner>> owners;
  for (const auto& [part, owner] : owners_) {
    owners.push_back(owner);
  }
  return owners;
}

bool CellNode::ApplyConfiguration(const std::shared_ptr<const CellConfiguration>& configuration,
                                  std::string document) {
  absl::MutexLock apply_lock(&configuration_mutex_);
  const std::shared_ptr<const CellConfiguration> current = service_->configuration();
  if (current != nullptr && current->version >= configuration->version) {
    return false;
  }
  context_.events->Record(EventCode::kContractInForce)
      .With("version", configuration->version)
      .With("routes", static_cast<int64_t>(configuration->routes.size()))
      .Emit();
  membership_->SetPools(configuration->pools);
  service_->SetConfiguration(configuration);
  configuration_exchange_->SetDocument(configuration->version, std::move(document),
                                       configuration->requires_keys);
  for (const std::shared_ptr<PoolOwner>& owner : Owners()) {
    owner->SetContracts(configuration->contracts);
  }
  caps_->SetConfiguration(configuration);
  // Wakes the maintenance thread to store the part counts of new pools at once.
  absl::MutexLock lock(&mutex_);
  changed_.SignalAll();
  return true;
}

bool CellNode::IsReady() const {
  return service_ != nullptr && service_->configuration() != nullptr &&
         membership_->IsStoreAvailable();
}

void CellNode::OnPartClaimed(const PartClaim& claim) {
  context_.events->Record(EventCode::kShardClaimed)
      .With("part", claim.part.value())
      .With("term", claim.term)
      .Emit();
  PoolOwnerContext owner_context;
  owner_context.store = &store_;
  owner_context.revisions = &store_.history();
  owner_context.directory = context_.directory;
  owner_context.connector = context_.connector;
  owner_context.advice = advice_.get();
  owner_context.timers = &timers_;
  owner_context.membership = membership_.get();
  owner_context.clock = context_.clock;
  owner_context.events = context_.events;
  owner_context.claim_lost = [this](const PartName& part) { membership_->ReportFenced(part); };
  const std::shared_ptr<PoolOwner> owner =
      std::make_shared<PoolOwner>(claim, context_.limits, std::move(owner_context));
  absl::MutexLock configuration_lock(&configuration_mutex_);
  const std::shared_ptr<const CellConfiguration> configuration = service_->configuration();
  if (configuration != nullptr) {
    owner->SetContracts(configuration->contracts);
  }
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return;
  }
  owners_[claim.part] = owner;
  owners_to_start_.push_back(owner);
  changed_.SignalAll();
}

void CellNode::OnPartLost(const PartName& part) {
  absl::MutexLock lock(&mutex_);
  const auto it = owners_.find(part);
  if (it == owners_.end()) {
    return;
  }
  it->second->Halt();
  disposal_.Add(std::move(it->second));
  owners_.erase(it);
}

std::shared_ptr<PoolOwner> CellNode::FindOwner(const PartName& part) const {
  absl::MutexLock lock(&mutex_);
  const auto it = owners_.find(part);
  return it == owners_.end() ? nullptr : it->second;
}

bool CellNode::IsStoreDownForAllMembers() const {
  for (const CellMember& member : membership_->members()) {
    if (member.id == context_.id) {
      continue;
    }
    const Outcome<nlohmann::json> answer = Capture([&] {
      return peer_client_->Call(member.peer_address, "store_health", nlohmann::json::object(),
                                kStoreHealthTimeout);
    });
    if (!answer.ok() || !ReportsStoreOutage(answer.value())) {
      return false;
    }
  }
  return true;
}

void CellNode::StoreMissingPartCounts() {
  for (const PoolName& pool : membership_->PoolsWithoutPartCount()) {
    const Outcome<std::vector<WorkerDescription>> listed =
        Capture([this] { return context_.directory->List(); });
    if (!listed.ok()) {
      RecordStoreFailure(context_.events, "list of workers", listed.error());
      return;
    }
    const size_t workers =
        std::count_if(listed.value().begin(), listed.value().end(),
                      [&pool](const WorkerDescription& worker) { return worker.pool == pool; });
    const absl::Time now = context_.clock->Now();
    const std::optional<int> parts = part_count_chooser_.Choose(pool, workers, now);
    if (!parts.has_value()) {
      continue;
    }
    StoreTransaction create;
    create.conditions = {StoreCondition{cell_keys::PartCount(pool), Revision(0)}};
    create.writes = {
        StoreWrite{cell_keys::PartCount(pool), std::to_string(*parts), EntryLifetime::Permanent()}};
    // The first instance to commit determines the count. All instances read it through the
    // membership's watch.
    const Outcome<Revision> written = Capture([&] { return context_.store->Commit(create); });
    if (!written.ok() && written.error().kind != ErrorKind::kConflict) {
      RecordStoreFailure(context_.events, "creation of the part count of pool " + pool.value(),
                         written.error());
    }
  }
}

void CellNode::MaintenanceLoop() {
  for (;;) {
    std::vector<std::shared_ptr<PoolOwner>> to_start;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      if (owners_to_start_.empty()) {
        context_.clock->WaitUntil(&changed_, &mutex_, context_.clock->Now() + kMaintenanceInterval);
      }
      to_start.swap(owners_to_start_);
    }
    for (std::shared_ptr<PoolOwner>& owner : to_start) {
      owner->Start();
      // The part may have been lost meanwhile.
      disposal_.Add(std::move(owner));
    }
    advice_->SetMembers(membership_->members());
    StoreMissingPartCounts();
  }
}

}  // namespace pomelotray
