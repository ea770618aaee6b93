#ifndef POMELOTRAY_DAEMON_SHARD_ROUTER_H_
#define POMELOTRAY_DAEMON_SHARD_ROUTER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "daemon/shard_directory.h"
#include "peer/membership.h"
#include "ports/peer_port.h"
#include "state/budgeted_store.h"
#include "state/shard_claims.h"

namespace pomelotray {

// Finds the owner of a shard and sends messages to it.
class ShardRouter {
 public:
  struct Context {
    const Clock* clock = nullptr;
    InstanceId self;
    PeerPort* peers = nullptr;
    ShardDirectory* directory = nullptr;
    Membership* membership = nullptr;
    ShardClaims* claims = nullptr;
    BudgetedStore* store = nullptr;
  };

  explicit ShardRouter(const Context& context);

  // Calls the owner of the shard, which must be another instance. Fails with kOwnerUnavailable if
  // no owner could be reached and the call had no effect, and with kOutcomeUnknown if the owner may
  // have handled the call.
  Result<nlohmann::json> Call(const ShardId& shard, const std::string& method,
                              const nlohmann::json& body, absl::Duration timeout);

 private:
  // Returns the peer addresses of likely owners, the most likely first.
  std::vector<std::string> KnownOwners(const ShardId& shard) const;
  std::optional<std::string> OwnerFromStore(const ShardId& shard);
  // Returns the peer addresses of all live instances in the failure domain of the shard, one of
  // which may own it.
  std::vector<std::string> DomainMembers(const ShardId& shard) const;

  const Context context_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_SHARD_ROUTER_H_
