#include "state/instance_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "state/compare_and_swap.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

constexpr char kPrefix[] = "instances/";
// Shorter than the renewal interval, so that the lease survives the failure of a single renewal.
constexpr absl::Duration kRetryInterval = absl::Milliseconds(300);

std::string StringField(const nlohmann::json& json, const char* name) {
  const auto it = json.find(name);
  return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

InstanceRecord ParseRecord(const StoreEntry& entry) {
  InstanceRecord record;
  record.id = InstanceId(entry.key.substr(sizeof(kPrefix) - 1));
  const nlohmann::json json = nlohmann::json::parse(entry.value, nullptr, false);
  if (!json.is_object()) {
    return record;
  }
  record.domain = FailureDomainId(StringField(json, "domain"));
  record.region = RegionId(StringField(json, "region"));
  record.peer_address = StringField(json, "peer_address");
  const auto incarnation = json.find("incarnation");
  if (incarnation != json.end() && incarnation->is_number_integer()) {
    record.incarnation = incarnation->get<int64_t>();
  }
  return record;
}

}  // namespace

InstanceLease::InstanceLease(const StateContext& context, InstanceRecord self)
    : context_(context), self_(std::move(self)), key_(kPrefix + self_.id.value()) {}

InstanceLease::~InstanceLease() { Stop(); }

void InstanceLease::Start() {
  thread_ = std::thread([this] { Run(); });
}

void InstanceLease::Stop() {
  std::optional<StoreLeaseId> lease;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    wake_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  {
    absl::MutexLock lock(&mutex_);
    lease.swap(lease_);
    // Other instances may take over this instance's shards as soon as the store has processed the
    // revocation.
    held_until_ = absl::InfinitePast();
  }
  if (lease.has_value()) {
    // If the revocation fails, the lease expires on its own.
    Capture([&] { return context_.store->RevokeLease(*lease); });
  }
}

bool InstanceLease::Held() const { return context_.clock->Now() < HeldUntil(); }

absl::Time InstanceLease::HeldUntil() const {
  absl::MutexLock lock(&mutex_);
  return held_until_;
}

Result<std::set<InstanceId>> InstanceLease::LiveInstances() {
  BOOST_LEAF_AUTO(records, LiveRecords());
  std::set<InstanceId> ids;
  for (const InstanceRecord& record : records) {
    ids.insert(record.id);
  }
  return ids;
}

Result<std::vector<InstanceRecord>> InstanceLease::LiveRecords() {
  BOOST_LEAF_AUTO(entries, context_.store->List(kPrefix));
  std::vector<InstanceRecord> records;
  records.reserve(entries.size());
  std::transform(entries.begin(), entries.end(), std::back_inserter(records), ParseRecord);
  return records;
}

void InstanceLease::Run() {
  while (true) {
    const absl::Time sent = context_.clock->Now();
    const bool renewed = RenewOnce();
    absl::MutexLock lock(&mutex_);
    const absl::Time next =
        renewed ? sent + kInstanceLeaseRenewal : context_.clock->Now() + kRetryInterval;
    while (!stopping_ && context_.clock->Now() < next) {
      context_.clock->WaitUntil(&wake_, &mutex_, next);
    }
    if (stopping_) {
      return;
    }
  }
}

bool InstanceLease::RenewOnce() {
  std::optional<StoreLeaseId> lease;
  {
    absl::MutexLock lock(&mutex_);
    lease = lease_;
  }
  Outcome<void> outcome = Error{
      ErrorKind::kNotFound, "The store has not granted this instance a lease yet.", std::nullopt};
  if (lease.has_value()) {
    outcome = Capture([&] { return Renew(*lease); });
  }
  if (!outcome.ok() && outcome.error().kind == ErrorKind::kNotFound) {
    outcome = Capture([&] { return Grant(); });
  }
  if (!outcome.ok()) {
    ReportExpiry(outcome.error());
  }
  return outcome.ok();
}

Result<void> InstanceLease::Renew(const StoreLeaseId& lease) {
  const absl::Time sent = context_.clock->Now();
  BOOST_LEAF_CHECK(context_.store->KeepAlive(lease));
  ExtendValidity(lease, sent);
  return {};
}

Result<void> InstanceLease::Grant() {
  const absl::Time sent = context_.clock->Now();
  {
    absl::MutexLock lock(&mutex_);
    lease_.reset();
  }
  BOOST_LEAF_AUTO(lease, context_.store->GrantLease(kInstanceLeaseTtl));
  BOOST_LEAF_CHECK(Publish(lease));
  ExtendValidity(lease, sent);
  context_.events->Record(EventCode::kInstanceLeaseGranted)
      .Peer(self_.id)
      .With(event_field::kBoot, self_.incarnation)
      .Emit();
  return {};
}

Result<void> InstanceLease::Publish(const StoreLeaseId& lease) {
  const nlohmann::json value = {{"domain", self_.domain.value()},
                                {"region", self_.region.value()},
                                {"peer_address", self_.peer_address},
                                {"incarnation", self_.incarnation},
                                {"nonce", MakeNonceText()}};
  BOOST_LEAF_AUTO(present, context_.store->Get(key_));
  const Revision expected = present.has_value() ? present->revision : Revision(0);
  BOOST_LEAF_AUTO(swap,
                  CompareAndSwapWithReadBack(context_, key_, expected, DumpJson(value), lease));
  if (swap.state != CompareAndSwapResult::State::kWritten) {
    return Fail(ErrorKind::kConflict, absl::StrCat("Another process writes the store key ", key_,
                                                   "; configure a unique id for each instance."));
  }
  return {};
}

void InstanceLease::ExtendValidity(const StoreLeaseId& lease, absl::Time sent) {
  absl::MutexLock lock(&mutex_);
  lease_ = lease;
  held_until_ = sent + kInstanceLeaseTtl * (1 - kClockDriftBound);
  reported_held_ = true;
}

void InstanceLease::ReportExpiry(const Error& error) {
  {
    absl::MutexLock lock(&mutex_);
    if (!reported_held_ || context_.clock->Now() < held_until_) {
      return;
    }
    reported_held_ = false;
  }
  context_.events->Record(EventCode::kInstanceLeaseLost)
      .Peer(self_.id)
      .With(event_field::kReason, error.message)
      .Emit();
}

}  // namespace pomelotray
