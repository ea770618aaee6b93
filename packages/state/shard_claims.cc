#include "state/shard_claims.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_number.h"
#include "base/json_text.h"
#include "state/compare_and_swap.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

constexpr char kPrefix[] = "shards/";
// Far beyond any meaningful term. The next owner adds 1; a sum that overflows would be an epoch
// that all workers refuse.
constexpr int64_t kMaxTerm = kMaxExactInteger;

std::string ClaimKey(const ShardId& shard) { return kPrefix + shard.ToString(); }

std::string EncodeClaim(const ShardClaim& claim) {
  return DumpJson(nlohmann::json{{"owner", claim.owner.value()},
                                 {"address", claim.address},
                                 {"term", claim.term},
                                 {"nonce", MakeNonceText()}});
}

Result<ShardClaim> ParseClaim(const StoreEntry& entry) {
  const std::optional<ShardId> shard = ShardId::Parse(entry.key.substr(sizeof(kPrefix) - 1));
  const Outcome<nlohmann::json> parsed = Capture([&] { return ParseJson(entry.value, "claim"); });
  const nlohmann::json json = parsed.ok() ? parsed.value() : nlohmann::json();
  const bool valid = shard.has_value() && json.is_object() && json.contains("owner") &&
                     json["owner"].is_string() && json.contains("address") &&
                     json["address"].is_string() && json.contains("term") &&
                     IsIntegerBetween(json["term"], 0, kMaxTerm);
  if (!valid) {
    return Fail(ErrorKind::kInternal,
                absl::StrCat("The store key ", entry.key,
                             " does not hold a valid shard claim; correct its value."));
  }
  return ShardClaim{*shard, InstanceId(json["owner"].get<std::string>()),
                    json["address"].get<std::string>(), json["term"].get<int64_t>(),
                    entry.revision};
}

boost::leaf::error_id OwnedByOtherError(const ShardId& shard,
                                        const std::optional<ShardClaim>& claim) {
  const std::string owner =
      claim.has_value() && !claim->owner.empty() ? claim->owner.value() : "another instance";
  return Fail(
      ErrorKind::kConflict,
      absl::StrCat("Shard ", shard.ToString(), " is owned by ", owner, "; send work to its owner."),
      absl::Seconds(1));
}

}  // namespace

ShardClaims::ShardClaims(const StateContext& context, InstanceId self, std::string address)
    : context_(context),
      self_(std::move(self)),
      address_(std::move(address)),
      faults_(std::make_unique<ReportedFaults>()) {}

Result<std::vector<ShardClaim>> ShardClaims::List(const FailureDomainId& domain) {
  BOOST_LEAF_AUTO(entries, context_.store->List(absl::StrCat(kPrefix, domain.value(), "/")));
  std::vector<ShardClaim> claims;
  std::map<std::string, std::string> faults;
  for (const StoreEntry& entry : entries) {
    const Outcome<ShardClaim> claim = Capture([&] { return ParseClaim(entry); });
    if (claim.ok()) {
      claims.push_back(claim.value());
    } else {
      faults[entry.key] = claim.error().message;
    }
  }
  for (const std::string& fault : faults_->Update(std::move(faults))) {
    context_.events->Record(EventCode::kInvalidInputRefused)
        .With(event_field::kReason, fault)
        .Emit();
  }
  return claims;
}

Result<std::optional<ShardClaim>> ShardClaims::Find(const ShardId& shard) {
  BOOST_LEAF_AUTO(entry, context_.store->Get(ClaimKey(shard)));
  if (!entry.has_value()) {
    return std::optional<ShardClaim>();
  }
  BOOST_LEAF_AUTO(claim, ParseClaim(*entry));
  return std::optional<ShardClaim>(claim);
}

Result<bool> ShardClaims::IsReplaceable(const ShardClaim& claim) {
  if (claim.owner.empty() || claim.owner == self_) {
    return true;
  }
  BOOST_LEAF_AUTO(instance, context_.store->Get("instances/" + claim.owner.value()));
  return !instance.has_value();
}

Result<ShardClaim> ShardClaims::TryClaim(const ShardId& shard) {
  BOOST_LEAF_AUTO(present, Find(shard));
  if (present.has_value()) {
    BOOST_LEAF_AUTO(replaceable, IsReplaceable(*present));
    if (!replaceable) {
      return OwnedByOtherError(shard, present);
    }
  }
  ShardClaim claim{shard, self_, address_, present.has_value() ? present->term + 1 : 1,
                   present.has_value() ? present->revision : Revision(0)};
  BOOST_LEAF_AUTO(swap, CompareAndSwapWithReadBack(context_, ClaimKey(shard), claim.revision,
                                                   EncodeClaim(claim)));
  if (swap.state != CompareAndSwapResult::State::kWritten) {
    BOOST_LEAF_AUTO(winner, Find(shard));
    return OwnedByOtherError(shard, winner);
  }
  claim.revision = swap.revision;
  context_.events->Record(EventCode::kShardClaimed)
      .Shard(shard)
      .Peer(self_)
      .At(Epoch{claim.term, 0})
      .Emit();
  return claim;
}

Result<void> ShardClaims::Release(const ShardClaim& claim) {
  ShardClaim released = claim;
  released.owner = InstanceId();
  released.address.clear();
  BOOST_LEAF_AUTO(swap, CompareAndSwapWithReadBack(context_, ClaimKey(claim.shard), claim.revision,
                                                   EncodeClaim(released)));
  if (swap.state == CompareAndSwapResult::State::kWritten) {
    context_.events->Record(EventCode::kShardReleased)
        .Shard(claim.shard)
        .Peer(self_)
        .At(Epoch{claim.term, 0})
        .Emit();
  }
  return {};
}

}  // namespace pomelotray
