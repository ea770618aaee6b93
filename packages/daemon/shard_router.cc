#include "daemon/shard_router.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kOwnerRetryAfter = absl::Seconds(2);

// Returns true if the called instance does not own the shard or could not be reached, so that the
// call may be sent to another instance.
bool ShouldTryAnotherInstance(const Error& error) {
  return error.kind == ErrorKind::kOwnerUnavailable || error.kind == ErrorKind::kUnavailable;
}

Error OwnerUnreachableError(const ShardId& shard) {
  return Error{ErrorKind::kOwnerUnavailable,
               absl::StrCat("The owner of shard ", shard.ToString(),
                            " cannot be reached; nothing was run. Try again shortly."),
               kOwnerRetryAfter};
}

}  // namespace

ShardRouter::ShardRouter(const Context& context) : context_(context) {}

Result<nlohmann::json> ShardRouter::Call(const ShardId& shard, const std::string& method,
                                         const nlohmann::json& body, absl::Duration timeout) {
  const absl::Time deadline = context_.clock->Now() + timeout;
  std::vector<std::string> addresses = KnownOwners(shard);
  std::set<std::string> tried;
  bool store_queried = false;
  while (true) {
    if (addresses.empty()) {
      if (store_queried) {
        return Fail(OwnerUnreachableError(shard));
      }
      store_queried = true;
      const std::optional<std::string> found = OwnerFromStore(shard);
      if (found.has_value()) {
        addresses.push_back(*found);
      } else if (!context_.store->Available()) {
        // Gossip about the shards of another failure domain takes seconds to arrive, and the store
        // cannot be queried, so the live instances of that domain are tried in turn.
        addresses = DomainMembers(shard);
      }
      continue;
    }
    const std::string address = addresses.front();
    addresses.erase(addresses.begin());
    if (!tried.insert(address).second) {
      continue;
    }
    const absl::Duration remaining = deadline - context_.clock->Now();
    if (remaining <= absl::ZeroDuration()) {
      return Fail(OwnerUnreachableError(shard));
    }
    const Outcome<nlohmann::json> answer =
        Capture([&] { return context_.peers->Call(address, method, body, remaining); });
    if (answer.ok() || !ShouldTryAnotherInstance(answer.error())) {
      return answer.ToResult();
    }
  }
}

std::vector<std::string> ShardRouter::KnownOwners(const ShardId& shard) const {
  std::vector<std::string> addresses;
  const std::optional<Member> gossiped = context_.membership->OwnerOf(shard);
  if (gossiped.has_value() && gossiped->id != context_.self) {
    addresses.push_back(gossiped->peer_address);
  }
  const std::optional<ShardClaim> claim = context_.directory->ClaimOf(shard);
  if (claim.has_value() && !claim->owner.empty() && claim->owner != context_.self) {
    addresses.push_back(claim->address);
  }
  return addresses;
}

std::vector<std::string> ShardRouter::DomainMembers(const ShardId& shard) const {
  std::vector<std::string> addresses;
  for (const Member& member : context_.membership->LiveInDomain(shard.domain)) {
    if (member.id != context_.self) {
      addresses.push_back(member.peer_address);
    }
  }
  return addresses;
}

std::optional<std::string> ShardRouter::OwnerFromStore(const ShardId& shard) {
  if (!context_.store->Available()) {
    return std::nullopt;
  }
  const Outcome<std::optional<ShardClaim>> claim =
      Capture([&] { return context_.claims->Find(shard); });
  if (!claim.ok() || !claim.value().has_value()) {
    return std::nullopt;
  }
  context_.directory->MergeClaims({*claim.value()});
  if (claim.value()->owner.empty() || claim.value()->owner == context_.self) {
    return std::nullopt;
  }
  return claim.value()->address;
}

}  // namespace pomelotray
