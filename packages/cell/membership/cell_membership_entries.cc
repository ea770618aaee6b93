// The part of CellMembership that decodes and applies the entries that it follows in the store.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/decode_json.h"
#include "base/json_number.h"
#include "cell/membership/cell_membership.h"
#include "cell/records/cell_keys.h"
#include "cell/records/number_limits.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr DecodeSubject kStoredMember = {ErrorKind::kInternal, "entry of an instance",
                                         "check which program wrote it"};
constexpr int kMaxPort = 65'535;

// Decoded member entry or claim. Only claims have an incarnation and a term.
struct MemberRecord {
  CellMember member;
  std::string incarnation;
  int64_t term = 0;
};

// The host is not checked: a call to a host that does not exist only fails.
bool HasValidPort(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string port = address.substr(colon + 1);
  int number = 0;
  return port.find_first_not_of("0123456789") == std::string::npos &&
         absl::SimpleAtoi(port, &number) && number >= 1 && number <= kMaxPort;
}

MemberRecord DecodeMemberRecord(const json& value) {
  MemberRecord record;
  CellMember& member = record.member;
  member.id = InstanceId(value.at("instance").get<std::string>());
  member.peer_address = value.at("peer_address").get<std::string>();
  if (!HasValidPort(member.peer_address)) {
    throw json::other_error::create(501, "the peer address has no valid port", &value);
  }
  if (value.contains("cpu_milli")) {
    member.cpu_milli = IntegerFromJson(value.at("cpu_milli"), 0, kMaxJsonCount);
  }
  if (value.contains("started_ms")) {
    member.started = UnixMillisFromJson(value.at("started_ms"));
  }
  record.incarnation = value.value("incarnation", "");
  if (value.contains("term")) {
    record.term = TermFromJson(value.at("term"));
  }
  return record;
}

boost::leaf::error_id Unreadable(const char* reason) {
  return Fail(ErrorKind::kInternal, absl::StrCat(reason, "; check which program wrote the entry."));
}

// Returns the part of the key after `prefix`, or no value if the key does not begin with it.
template <size_t N>
std::optional<std::string> NameIn(const std::string& key, const char (&prefix)[N]) {
  if (!absl::StartsWith(key, prefix)) {
    return std::nullopt;
  }
  return key.substr(N - 1);
}

}  // namespace

void CellMembership::ApplyEntry(const StoreEntry& entry) {
  const Outcome<void> applied = Capture([&] { return DecodeEntry(entry); });
  if (!applied.ok()) {
    unreadable_.Record(entry, applied.error());
    ApplyUnreadable(entry);
  }
}

Result<void> CellMembership::DecodeEntry(const StoreEntry& entry) {
  if (absl::StartsWith(entry.key, cell_keys::kTermPrefix)) {
    return ApplyTerm(entry);
  }
  if (absl::StartsWith(entry.key, cell_keys::kPartCountPrefix)) {
    return ApplyPartCount(entry);
  }
  if (absl::StartsWith(entry.key, cell_keys::kMemberPrefix)) {
    return ApplyMember(entry);
  }
  if (absl::StartsWith(entry.key, cell_keys::kClaimPrefix)) {
    return ApplyClaim(entry);
  }
  return {};
}

Result<void> CellMembership::ApplyMember(const StoreEntry& entry) {
  BOOST_LEAF_AUTO(record, DecodeJson(entry.value, kStoredMember, DecodeMemberRecord));
  // Otherwise the entry would replace the record of another member.
  if (record.member.id.value() != NameIn(entry.key, cell_keys::kMemberPrefix)) {
    return Unreadable("The entry of an instance names another instance than its key");
  }
  if (record.member.id == self_.id) {
    own_entry_unreadable_ = false;
  }
  members_[record.member.id] = record.member;
  return {};
}

Result<void> CellMembership::ApplyClaim(const StoreEntry& entry) {
  const PartName part(*NameIn(entry.key, cell_keys::kClaimPrefix));
  if (!PoolPart::Parse(part).has_value()) {
    return Unreadable("The key of a claim names no part of a pool");
  }
  BOOST_LEAF_AUTO(record, DecodeJson(entry.value, kStoredMember, DecodeMemberRecord));
  PartClaim claim{part,        record.member,  record.incarnation,
                  record.term, entry.revision, entry.lease.has_value()};
  // The store removes the claims of a lease with the lease, but a delayed answer may still show
  // them.
  if (IsOwnClaim(claim) && entry.lease != lease_) {
    return {};
  }
  const auto known = claims_.find(part);
  if (known == claims_.end() || known->second.revision < entry.revision) {
    claims_[part] = std::move(claim);
    unreadable_claims_.erase(part);
    unowned_since_.erase(part);
  }
  return {};
}

Result<void> CellMembership::ApplyTerm(const StoreEntry& entry) {
  int64_t term = 0;
  if (!absl::SimpleAtoi(entry.value, &term) || term < 0 || term > kMaxTerm) {
    return Unreadable("The term of a part is not a number or is out of range");
  }
  RaiseTerm(PartName(*NameIn(entry.key, cell_keys::kTermPrefix)), term, entry.revision);
  return {};
}

Result<void> CellMembership::ApplyPartCount(const StoreEntry& entry) {
  int count = 0;
  if (!absl::SimpleAtoi(entry.value, &count) || count < 1 || count > kMaxPartCount) {
    return Unreadable("The number of parts of a pool is not a number or is out of range");
  }
  part_counts_[PoolName(*NameIn(entry.key, cell_keys::kPartCountPrefix))] = count;
  return {};
}

void CellMembership::ApplyUnreadable(const StoreEntry& entry) {
  if (const std::optional<std::string> name = NameIn(entry.key, cell_keys::kTermPrefix)) {
    const PartName part(*name);
    // Each claim of a part increments its term and takes a revision of its own, so no term exceeds
    // the revision of a later entry. The next claim therefore has a higher term than all before.
    const auto claim = claims_.find(part);
    RaiseTerm(part,
              std::max(std::min(entry.revision.value(), kMaxTerm),
                       claim == claims_.end() ? 0 : claim->second.term),
              entry.revision);
  } else if (const std::optional<std::string> claimed =
                 NameIn(entry.key, cell_keys::kClaimPrefix)) {
    const PartName part(*claimed);
    const auto known = claims_.find(part);
    if (known != claims_.end() && known->second.revision >= entry.revision) {
      return;
    }
    // The former owner's writes are conditional on the entry that was replaced, so it can no longer
    // store results.
    if (known != claims_.end()) {
      claims_.erase(known);
    }
    unowned_since_.emplace(part, clock_->Now());
    unreadable_claims_[part] = entry.revision;
  } else if (entry.key == cell_keys::Member(self_.id)) {
    members_[self_.id] = self_;
    own_entry_unreadable_ = true;
  }
}

void CellMembership::RaiseTerm(const PartName& part, int64_t term, Revision revision) {
  TermEntry& known = terms_[part];
  if (known.revision < revision) {
    known.term = std::max(known.term, term);
    known.revision = revision;
  }
}

void CellMembership::PrepareForListing(const WatchBatch& batch) {
  view_complete_ = true;
  members_.clear();
  unreadable_claims_.clear();
  std::set<std::string> present;
  for (const StoreEntry& entry : batch.changed) {
    present.insert(entry.key);
  }
  for (auto it = claims_.begin(); it != claims_.end();) {
    const bool kept =
        present.count(cell_keys::Claim(it->first)) > 0 || it->second.revision > batch.next;
    it = kept ? std::next(it) : claims_.erase(it);
  }
}

void CellMembership::ApplyDeletion(const std::string& key, Revision next) {
  if (const std::optional<std::string> member = NameIn(key, cell_keys::kMemberPrefix)) {
    members_.erase(InstanceId(*member));
  } else if (const std::optional<std::string> claimed = NameIn(key, cell_keys::kClaimPrefix)) {
    const PartName part(*claimed);
    unreadable_claims_.erase(part);
    const auto claim = claims_.find(part);
    // A claim newer than this batch was written after the deletion and stays.
    if (claim != claims_.end() && claim->second.revision <= next) {
      claims_.erase(claim);
      unowned_since_[part] = clock_->Now();
    }
  }
}

void CellMembership::Apply(const WatchBatch& batch, bool complete) {
  {
    absl::MutexLock lock(&mutex_);
    if (complete) {
      PrepareForListing(batch);
    }
    for (const StoreEntry& entry : batch.changed) {
      ApplyEntry(entry);
    }
    for (const std::string& key : batch.deleted) {
      ApplyDeletion(key, batch.next);
    }
    ownerless_claims_.Update(claims_, members_, clock_->Now());
    changed_.SignalAll();
  }
  Reconcile();
}

}  // namespace pomelotray
