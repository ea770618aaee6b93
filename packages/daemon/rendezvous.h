#ifndef POMELOTRAY_DAEMON_RENDEZVOUS_H_
#define POMELOTRAY_DAEMON_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelotray {

// Returns the score of `candidate` for `key` in rendezvous (highest random weight) hashing. The
// score must be the same on all instances and in all versions.
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// Returns the candidate with the highest score for the key; `candidates` must not be empty.
std::string RendezvousPick(std::string_view key, const std::vector<std::string>& candidates);

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_RENDEZVOUS_H_
