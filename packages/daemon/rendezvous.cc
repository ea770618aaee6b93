#include "daemon/rendezvous.h"

#include <xxhash.h>

namespace pomelotray {

uint64_t RendezvousScore(std::string_view key, std::string_view candidate) {
  return XXH64(key.data(), key.size(), XXH64(candidate.data(), candidate.size(), 0));
}

std::string RendezvousPick(std::string_view key, const std::vector<std::string>& candidates) {
  std::string best = candidates.front();
  for (const std::string& candidate : candidates) {
    const uint64_t score = RendezvousScore(key, candidate);
    const uint64_t best_score = RendezvousScore(key, best);
    if (score > best_score || (score == best_score && candidate < best)) {
      best = candidate;
    }
  }
  return best;
}

}  // namespace pomelotray
