#ifndef POMELOTRAY_STATE_SWAP_H_
#define POMELOTRAY_STATE_SWAP_H_

#include <optional>
#include <string>

#include "state/state_context.h"

namespace pomelotray {

// How a compare-and-swap ended.
struct SwapOutcome {
  enum class State {
    kWritten,
    // The write did not take effect, because the key had another revision.
    kRefused,
    // The answer was lost, and the key now holds another writer's value. The write may have taken
    // effect before that.
    kReplaced,
  };
  State state = State::kRefused;
  // kWritten: the new revision.
  Revision revision;
  // kReplaced: the value found.
  std::optional<StoreEntry> current;
};

// Compare-and-swap that reads the key back when the answer is lost. `value` carries a nonce.
// kStoreUnavailable: the write did not take effect. kOutcomeUnknown: it may have, or may still.
Result<SwapOutcome> SwapReadingBack(const StateContext& context, const std::string& key,
                                    Revision expected, const std::string& value,
                                    const std::optional<StoreLeaseId>& lease = std::nullopt);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SWAP_H_
