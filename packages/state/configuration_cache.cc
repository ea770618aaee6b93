#include "state/configuration_cache.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_number.h"
#include "base/json_text.h"
#include "model/contract_codec.h"
#include "model/field_reader.h"
#include "state/compare_and_swap.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

constexpr char kKeyPrefix[] = "contracts/";
constexpr char kNonceField[] = "nonce";
// Far beyond any meaningful revision.
constexpr int64_t kMaxRevision = kMaxExactInteger;
// Maximum duration of a watch call, and so of the time for which Stop() waits for one.
constexpr absl::Duration kWatchWait = absl::Seconds(3);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(500);
// Interval at which an instance checks whether it has become the watcher of its failure domain.
constexpr absl::Duration kWatcherCheckInterval = absl::Milliseconds(250);

std::string StoreKey(const CustomerId& customer) { return kKeyPrefix + customer.value(); }

CustomerId CustomerFromKey(const std::string& key) {
  return CustomerId(key.substr(sizeof(kKeyPrefix) - 1));
}

Result<Contract> ParseValue(const CustomerId& customer, Revision revision,
                            const std::string& value) {
  BOOST_LEAF_AUTO(json, ParseJson(value, "stored contract"));
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                "The stored contract is not a JSON object; apply the contract again.");
  }
  json.erase(kNonceField);
  BOOST_LEAF_AUTO(contract, ContractFromJson(json));
  if (contract.customer != customer) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The stored contract names customer ", contract.customer.value(),
                             "; store it under that customer's key."));
  }
  contract.revision = revision;
  return contract;
}

bool IsValidEntry(const nlohmann::json& json) {
  return json.is_object() && json.contains("customer") && json["customer"].is_string() &&
         json.contains("revision") && IsIntegerBetween(json["revision"], 1, kMaxRevision) &&
         json.contains("deleted") && json["deleted"].is_boolean() && json.contains("value") &&
         json["value"].is_string();
}

bool IsValidEntryList(const nlohmann::json& json) {
  return json.is_object() && json.contains("after") &&
         IsIntegerBetween(json["after"], 0, kMaxRevision) && json.contains("revision") &&
         IsIntegerBetween(json["revision"], 0, kMaxRevision) && json.contains("ready") &&
         json["ready"].is_boolean() && json.contains("entries") && json["entries"].is_array();
}

std::string DescribeFault(const nlohmann::json& entry) {
  const bool named =
      entry.is_object() && entry.contains("customer") && entry["customer"].is_string();
  return absl::StrCat("A peer sent a malformed configuration entry for ",
                      named ? FieldReader::Show(entry["customer"]) : "no customer",
                      "; run the same release on all instances.");
}

}  // namespace

ConfigurationCache::ConfigurationCache(const StateContext& context,
                                       std::function<bool()> should_watch, ChangeCallback on_change)
    : context_(context), should_watch_(std::move(should_watch)), on_change_(std::move(on_change)) {}

ConfigurationCache::~ConfigurationCache() { Stop(); }

void ConfigurationCache::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigurationCache::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    wake_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool ConfigurationCache::Ready() const {
  absl::MutexLock lock(&mutex_);
  return ready_;
}

Revision ConfigurationCache::revision() const {
  absl::MutexLock lock(&mutex_);
  return revision_;
}

std::optional<Contract> ConfigurationCache::Find(const CustomerId& customer) const {
  absl::MutexLock lock(&mutex_);
  const auto it = entries_.find(customer);
  return it != entries_.end() ? it->second.contract : std::nullopt;
}

std::vector<Contract> ConfigurationCache::All() const {
  std::vector<Contract> contracts;
  absl::MutexLock lock(&mutex_);
  for (const auto& [customer, entry] : entries_) {
    if (entry.contract.has_value()) {
      contracts.push_back(*entry.contract);
    }
  }
  return contracts;
}

nlohmann::json ConfigurationCache::EntriesAfter(Revision revision) const {
  nlohmann::json entries = nlohmann::json::array();
  absl::MutexLock lock(&mutex_);
  for (const auto& [customer, entry] : entries_) {
    if (entry.revision > revision) {
      entries.push_back({{"customer", customer.value()},
                         {"revision", entry.revision.value()},
                         {"deleted", entry.deleted},
                         {"value", entry.value}});
    }
  }
  return {{"after", revision.value()},
          {"revision", revision_.value()},
          {"ready", ready_},
          {"entries", std::move(entries)}};
}

Result<void> ConfigurationCache::MergeEntries(const nlohmann::json& entries) {
  if (!IsValidEntryList(entries)) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "A peer sent malformed configuration entries; run the same release on all instances.");
  }
  std::map<std::string, std::string> faults;
  for (const nlohmann::json& entry : entries["entries"]) {
    if (!IsValidEntry(entry)) {
      const std::string fault = DescribeFault(entry);
      faults[fault] = fault;
      continue;
    }
    AcceptVersion(CustomerId(entry["customer"].get<std::string>()),
                  Revision(entry["revision"].get<int64_t>()), entry["deleted"].get<bool>(),
                  entry["value"].get<std::string>());
  }
  const bool complete = faults.empty();
  for (const std::string& fault : peer_faults_.Update(std::move(faults))) {
    context_.events->Record(EventCode::kInvalidInputRefused)
        .With(event_field::kReason, fault)
        .Emit();
  }
  absl::MutexLock lock(&mutex_);
  // This cache is complete up to the peer's revision only if the peer's cache is complete itself
  // and the peer was asked for all entries after a revision up to which this cache is complete.
  if (entries["ready"].get<bool>() && Revision(entries["after"].get<int64_t>()) <= revision_) {
    // Without an entry that could not be read, this cache is usable, but it keeps asking for it.
    if (complete) {
      revision_ = std::max(revision_, Revision(entries["revision"].get<int64_t>()));
    }
    ready_ = true;
  }
  return {};
}

Result<void> ConfigurationCache::Load() {
  // A watch that starts at revision 0 returns all keys and the revision at which they were read.
  BOOST_LEAF_AUTO(batch, context_.store->Watch(kKeyPrefix, Revision(0), absl::ZeroDuration()));
  std::set<CustomerId> present;
  for (const StoreEntry& entry : batch.changed) {
    present.insert(CustomerFromKey(entry.key));
  }
  std::vector<CustomerId> deleted;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [customer, entry] : entries_) {
      if (!entry.deleted && entry.revision <= batch.next && present.count(customer) == 0) {
        deleted.push_back(customer);
      }
    }
  }
  AcceptBatch(batch);
  for (const CustomerId& customer : deleted) {
    AcceptVersion(customer, batch.next, true, "");
  }
  return {};
}

void ConfigurationCache::AcceptBatch(const WatchBatch& batch) {
  for (const StoreEntry& entry : batch.changed) {
    AcceptVersion(CustomerFromKey(entry.key), entry.revision, false, entry.value);
  }
  for (const std::string& key : batch.deleted) {
    // The key did not exist at revision `next`: a key that was written again before that revision
    // is listed in `changed`.
    AcceptVersion(CustomerFromKey(key), batch.next, true, "");
  }
  absl::MutexLock lock(&mutex_);
  revision_ = std::max(revision_, batch.next);
  ready_ = true;
}

Result<void> ConfigurationCache::WatchOnce() {
  BOOST_LEAF_AUTO(batch, context_.store->Watch(kKeyPrefix, revision(), kWatchWait));
  AcceptBatch(batch);
  return {};
}

void ConfigurationCache::Run() {
  while (!Stopping()) {
    if (Ready() && !should_watch_()) {
      WaitUnlessStopping(kWatcherCheckInterval);
      continue;
    }
    const Outcome<void> outcome = Capture([&] { return Ready() ? WatchOnce() : Load(); });
    if (!outcome.ok()) {
      WaitUnlessStopping(outcome.error().retry_after.value_or(kRetryInterval));
    }
  }
}

bool ConfigurationCache::Stopping() const {
  absl::MutexLock lock(&mutex_);
  return stopping_;
}

void ConfigurationCache::WaitUnlessStopping(absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  const absl::Time end = context_.clock->Now() + duration;
  while (!stopping_ && context_.clock->Now() < end) {
    context_.clock->WaitUntil(&wake_, &mutex_, end);
  }
}

bool ConfigurationCache::AcceptVersion(const CustomerId& customer, Revision revision, bool deleted,
                                       const std::string& value) {
  Outcome<Contract> parsed = Error{};
  if (!deleted) {
    parsed = Capture([&] { return ParseValue(customer, revision, value); });
  }
  absl::MutexLock change_callback_lock(&change_callback_mutex_);
  std::optional<Contract> contract;
  {
    absl::MutexLock lock(&mutex_);
    Entry& entry = entries_[customer];
    if (revision <= entry.revision) {
      const bool stale = revision < entry.revision;
      if (stale) {
        RecordStaleVersion(customer, revision, entry.revision);
      }
      return false;
    }
    entry.revision = revision;
    entry.deleted = deleted;
    entry.value = value;
    if (deleted || parsed.ok()) {
      entry.contract = parsed.ok() ? std::optional<Contract>(parsed.value()) : std::nullopt;
      contract = entry.contract;
    }
  }
  if (!deleted && !parsed.ok()) {
    context_.events->Record(EventCode::kInvalidInputRefused)
        .Customer(customer)
        .With(event_field::kRevision, revision.value())
        .With(event_field::kReason, parsed.error().message)
        .Emit();
    return true;
  }
  context_.events->Record(EventCode::kContractInForce)
      .Customer(customer)
      .With(event_field::kRevision, revision.value())
      .With(event_field::kState, deleted ? "deleted" : "present")
      .Emit();
  if (on_change_) {
    on_change_(customer, contract);
  }
  return true;
}

void ConfigurationCache::RecordStaleVersion(const CustomerId& customer, Revision offered,
                                            Revision known) const {
  context_.events->Record(EventCode::kStaleConfigurationIgnored)
      .Customer(customer)
      .With(event_field::kRevision, offered.value())
      .With(event_field::kReason, absl::StrCat("revision ", known.value(), " is already known"))
      .Emit();
}

Result<Contract> ConfigurationCache::Apply(const Contract& contract, Revision expected) {
  nlohmann::json json = ContractToJson(contract);
  // Validates the contract in the same way as the instances that will read it.
  BOOST_LEAF_AUTO(checked, ContractFromJson(json));
  json[kNonceField] = MakeNonceText();
  const std::string value = DumpJson(json);
  BOOST_LEAF_AUTO(
      swap, CompareAndSwapWithReadBack(context_, StoreKey(contract.customer), expected, value));
  if (swap.state == CompareAndSwapResult::State::kConflict) {
    return MakeConflictError(contract.customer, expected);
  }
  if (swap.state == CompareAndSwapResult::State::kOverwritten) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("The response to the write of contract ", contract.customer.value(),
                             " was lost and the contract has changed since then; read it and "
                             "decide whether to apply the change again."));
  }
  context_.events->Record(EventCode::kContractApplied)
      .Customer(contract.customer)
      .With(event_field::kRevision, swap.revision.value())
      .Emit();
  AcceptVersion(contract.customer, swap.revision, false, value);
  checked.revision = swap.revision;
  return checked;
}

boost::leaf::error_id ConfigurationCache::MakeConflictError(const CustomerId& customer,
                                                            Revision expected) {
  const Outcome<std::optional<StoreEntry>> read =
      Capture([&] { return context_.store->Get(StoreKey(customer)); });
  std::string present = "unknown";
  if (read.ok()) {
    present = absl::StrCat(read.value().has_value() ? read.value()->revision.value() : 0);
  }
  context_.events->Record(EventCode::kContractConflict)
      .Customer(customer)
      .With(event_field::kRevision, present)
      .Emit();
  return Fail(ErrorKind::kConflict,
              absl::StrCat("Contract ", customer.value(), " has revision ", present, ", not ",
                           expected.value(), "; read it and apply the change again."));
}

}  // namespace pomelotray
