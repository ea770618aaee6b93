#include "cell/ownership/cap_exchange.h"

#include <algorithm>
#include <utility>

#include "customers/cap_codec.h"
#include "customers/unlimited.h"

namespace pomelotray {
namespace {

// An owner answers from memory. A call between regions takes 16 ms.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(100);
// Pause before an owner that did not answer is called again. The calls are made one after the
// other, so each that is not answered delays those to the other owners.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(500);
// Longest lease of a task, including the error of the worker's clock. A part that has had no owner
// for this time has nothing running.
constexpr absl::Duration kLongestLease = absl::Milliseconds(6500);

bool HasCaps(const CellConfiguration& configuration) {
  return std::any_of(configuration.contracts.begin(), configuration.contracts.end(),
                     [](const Contract& contract) { return HasLimit(contract.hold); });
}

}  // namespace

CapExchange::CapExchange(CapExchangeContext context)
    : context_(std::move(context)), usage_log_(context_.events) {}

CapExchange::~CapExchange() { Stop(); }

void CapExchange::Start() {
  thread_ = std::thread([this] { Loop(); });
}

void CapExchange::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CapExchange::SetConfiguration(std::shared_ptr<const CellConfiguration> configuration) {
  absl::MutexLock lock(&mutex_);
  configuration_ = std::move(configuration);
  changed_.SignalAll();
}

std::shared_ptr<const CellConfiguration> CapExchange::configuration() const {
  absl::MutexLock lock(&mutex_);
  return configuration_;
}

void CapExchange::Loop() {
  for (;;) {
    const absl::Time begun = context_.clock->Now();
    RunRound();
    absl::MutexLock lock(&mutex_);
    while (!stopping_ && (configuration_ == nullptr || !HasCaps(*configuration_))) {
      // The last configuration with caps may have been replaced during the round.
      if (ledger_ != nullptr) {
        break;
      }
      changed_.Wait(&mutex_);
    }
    const absl::Time next = begun + kInterval;
    while (!stopping_ && context_.clock->Now() < next) {
      context_.clock->WaitUntil(&changed_, &mutex_, next);
    }
    if (stopping_) {
      return;
    }
  }
}

std::set<PartName> CapExchange::PartsOf(const CellConfiguration& configuration) const {
  std::set<PartName> parts;
  for (const PoolName& pool : configuration.pools) {
    // A pool whose part count is not stored has no owner yet.
    for (const PoolPart& part : PoolPart::All(pool, context_.part_count(pool).value_or(0))) {
      parts.insert(part.Name());
    }
  }
  return parts;
}

std::optional<PartClaim> CapExchange::OwnCoordinatorClaim(const std::set<PartName>& parts) const {
  if (parts.empty()) {
    return std::nullopt;
  }
  const std::optional<PartClaim> claim = context_.claim_of(*parts.begin());
  // A claim of an earlier process of this instance has no owner here.
  return claim.has_value() && claim->owner.id == context_.self &&
                 context_.find_owner(*parts.begin()) != nullptr
             ? claim
             : std::nullopt;
}

void CapExchange::EndCoordination() {
  if (ledger_ == nullptr) {
    return;
  }
  ledger_.reset();
  unowned_since_.clear();
  retry_at_.clear();
  usage_log_.End();
}

void CapExchange::PrepareLedger(const PartClaim& claim, const CellConfiguration& configuration,
                                const std::set<PartName>& parts) {
  if (ledger_ != nullptr && (ledger_part_ != claim.part || ledger_term_ != claim.term)) {
    EndCoordination();
  }
  if (ledger_ == nullptr) {
    ledger_ = std::make_unique<CapLedger>(claim.part, claim.term, next_sequence_);
    ledger_part_ = claim.part;
    ledger_term_ = claim.term;
    ledger_->SetContracts(configuration.contracts);
  } else if (ledger_version_ != configuration.version) {
    ledger_->SetContracts(configuration.contracts);
  }
  ledger_version_ = configuration.version;
  ledger_->AddParts(parts);
}

void CapExchange::RunRound() {
  const std::shared_ptr<const CellConfiguration> current = configuration();
  if (current == nullptr || !HasCaps(*current)) {
    EndCoordination();
    return;
  }
  const std::set<PartName> parts = PartsOf(*current);
  const std::optional<PartClaim> own = OwnCoordinatorClaim(parts);
  if (!own.has_value()) {
    EndCoordination();
    return;
  }
  PrepareLedger(*own, *current, parts);
  for (const PartName& part : ledger_->Parts()) {
    const std::optional<PartClaim> claim = context_.claim_of(part);
    if (claim.has_value()) {
      unowned_since_.erase(part);
      CallOwner(part, *claim);
    } else if (IsVacant(part)) {
      if (parts.count(part) > 0) {
        ledger_->MarkVacant(part);
      } else {
        ledger_->RemovePart(part);
      }
    }
  }
  next_sequence_ = ledger_->next_sequence();
  usage_log_.Record(ledger_->Totals(), context_.clock->Now());
}

bool CapExchange::IsVacant(const PartName& part) {
  const absl::Time now = context_.clock->Now();
  return now - unowned_since_.emplace(part, now).first->second >= kLongestLease;
}

void CapExchange::CallOwner(const PartName& part, const PartClaim& claim) {
  const auto retry = retry_at_.find(part);
  if (retry != retry_at_.end() && context_.clock->Now() < retry->second) {
    return;
  }
  retry_at_.erase(part);
  const CapCall call = ledger_->MakeCall(part, claim.term);
  const Outcome<CapReport> report = Capture([&] { return SendCall(call, claim); });
  if (report.ok()) {
    if (report.value().owner_term == call.owner_term && report.value().sequence == call.sequence) {
      ledger_->ApplyReport(part, report.value());
    }
  } else if (report.error().kind != ErrorKind::kFenced &&
             report.error().kind != ErrorKind::kOwnerUnavailable) {
    retry_at_[part] = context_.clock->Now() + kRetryDelay;
  }
}

Result<CapReport> CapExchange::SendCall(const CapCall& call, const PartClaim& claim) {
  if (claim.owner.id == context_.self) {
    const std::shared_ptr<CapOwner> owner = context_.find_owner(call.part);
    if (owner == nullptr) {
      return Fail(ErrorKind::kOwnerUnavailable, "The part is not owned here any more; call again.");
    }
    return owner->ExchangeCaps(call);
  }
  BOOST_LEAF_AUTO(answer, context_.peers->Call(claim.owner.peer_address, "caps",
                                               EncodeCapCall(call), kCallTimeout));
  return DecodeCapReport(answer);
}

Result<nlohmann::json> CapExchange::Answer(const PeerCall& call) {
  BOOST_LEAF_AUTO(decoded, DecodeCapCall(call.body));
  const std::shared_ptr<const CellConfiguration> current = configuration();
  const std::set<PartName> parts = current == nullptr ? std::set<PartName>() : PartsOf(*current);
  if (parts.empty() || decoded.coordinator != *parts.begin()) {
    return Fail(ErrorKind::kFenced,
                "Part " + decoded.coordinator.value() +
                    " is not the first part of the pools known here; wait until all instances "
                    "have the same configuration.");
  }
  const std::optional<PartClaim> claim = context_.claim_of(decoded.coordinator);
  if (claim.has_value() && claim->term > decoded.coordinator_term) {
    return Fail(ErrorKind::kFenced, "Another instance has claimed part " +
                                        decoded.coordinator.value() +
                                        "; stop coordinating the caps.");
  }
  const std::shared_ptr<CapOwner> owner = context_.find_owner(decoded.part);
  if (owner == nullptr) {
    return Fail(ErrorKind::kOwnerUnavailable,
                "This instance does not own this part of the pool at present; call again later.");
  }
  BOOST_LEAF_AUTO(report, owner->ExchangeCaps(decoded));
  return EncodeCapReport(report);
}

}  // namespace pomelotray
