#ifndef POMELOTRAY_STATE_COMPARE_AND_SWAP_H_
#define POMELOTRAY_STATE_COMPARE_AND_SWAP_H_

#include <optional>
#include <string>

#include "state/state_context.h"

namespace pomelotray {

// The outcome of a compare-and-swap.
struct CompareAndSwapResult {
  enum class State {
    kWritten,
    // The write did not take effect because the key had a different revision.
    kConflict,
    // The response was lost, and the key now holds another writer's value. The write may have taken
    // effect before that value was written.
    kOverwritten,
  };
  State state = State::kConflict;
  // With kWritten: the new revision.
  Revision revision;
  // With kOverwritten: the entry found, or nullopt if the key does not exist.
  std::optional<StoreEntry> current;
};

// Performs a compare-and-swap, and reads the key back if the response is lost. `value` must contain
// a nonce, so that it differs from all other writes. kStoreUnavailable: the write did not take
// effect. kOutcomeUnknown: the write may have taken effect or may still do so.
Result<CompareAndSwapResult> CompareAndSwapWithReadBack(
    const StateContext& context, const std::string& key, Revision expected,
    const std::string& value, const std::optional<StoreLeaseId>& lease = std::nullopt);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_COMPARE_AND_SWAP_H_
