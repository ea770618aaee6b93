#ifndef POMELOTRAY_BASE_SHARD_ID_H_
#define POMELOTRAY_BASE_SHARD_ID_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "base/strong_id.h"

namespace pomelotray {

// One pool of workers or executors in one failure domain, written "cuenca/rendering".
struct ShardId {
  FailureDomainId domain;
  PoolName pool;

  std::string ToString() const { return domain.value() + "/" + pool.value(); }
  static std::optional<ShardId> Parse(std::string_view text);

  friend bool operator==(const ShardId& a, const ShardId& b) {
    return std::tie(a.domain, a.pool) == std::tie(b.domain, b.pool);
  }
  friend bool operator!=(const ShardId& a, const ShardId& b) { return !(a == b); }
  friend bool operator<(const ShardId& a, const ShardId& b) {
    return std::tie(a.domain, a.pool) < std::tie(b.domain, b.pool);
  }
  friend std::ostream& operator<<(std::ostream& out, const ShardId& id) {
    return out << id.ToString();
  }
  template <typename H>
  friend H AbslHashValue(H state, const ShardId& id) {
    return H::combine(std::move(state), id.domain, id.pool);
  }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_SHARD_ID_H_
