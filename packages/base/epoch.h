#ifndef POMELOTRAY_BASE_EPOCH_H_
#define POMELOTRAY_BASE_EPOCH_H_

#include <cstdint>
#include <ostream>
#include <tuple>

namespace pomelotray {

// Fencing token of a shard's owner. `term` grows with each claim in the store; `round` grows with
// each local takeover during a store outage. Workers refuse commands that carry a lower epoch than
// the highest they have seen.
struct Epoch {
  int64_t term = 0;
  int64_t round = 0;
};

inline bool operator==(const Epoch& a, const Epoch& b) {
  return std::tie(a.term, a.round) == std::tie(b.term, b.round);
}
inline bool operator!=(const Epoch& a, const Epoch& b) { return !(a == b); }
inline bool operator<(const Epoch& a, const Epoch& b) {
  return std::tie(a.term, a.round) < std::tie(b.term, b.round);
}
inline std::ostream& operator<<(std::ostream& out, const Epoch& e) {
  return out << e.term << "." << e.round;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_EPOCH_H_
