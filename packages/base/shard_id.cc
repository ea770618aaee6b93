#include "base/shard_id.h"

namespace pomelotray {

std::optional<ShardId> ShardId::Parse(std::string_view text) {
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == text.size()) {
    return std::nullopt;
  }
  return ShardId{FailureDomainId(std::string(text.substr(0, slash))),
                 PoolName(std::string(text.substr(slash + 1)))};
}

}  // namespace pomelotray
