#include "state/swap.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// A second attempt settles most lost answers; more would spend the write budget of an ailing store.
constexpr int kAttempts = 3;

boost::leaf::error_id Unresolved(const std::string& key) {
  return Fail(ErrorKind::kOutcomeUnknown,
              absl::StrCat("The answer to a write of ", key,
                           " was lost and the key could not be read back; read it later."),
              absl::Seconds(1));
}

// Returns the final outcome, or nullopt when the key still has the expected revision.
Result<std::optional<SwapOutcome>> ReadBack(const StateContext& context, const std::string& key,
                                            Revision expected, const std::string& value) {
  const Outcome<std::optional<StoreEntry>> read = Capture([&] { return context.store->Get(key); });
  if (!read.ok()) {
    return Unresolved(key);
  }
  const std::optional<StoreEntry>& entry = read.value();
  if (entry.has_value() && entry->value == value) {
    return SwapOutcome{SwapOutcome::State::kWritten, entry->revision, std::nullopt};
  }
  if ((entry.has_value() ? entry->revision : Revision(0)) == expected) {
    return std::optional<SwapOutcome>();
  }
  return SwapOutcome{SwapOutcome::State::kReplaced, Revision(0), entry};
}

}  // namespace

Result<SwapOutcome> SwapReadingBack(const StateContext& context, const std::string& key,
                                    Revision expected, const std::string& value,
                                    const std::optional<StoreLeaseId>& lease) {
  bool uncertain = false;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const Outcome<Revision> written =
        Capture([&] { return context.store->CompareAndSwap(key, expected, value, lease); });
    if (written.ok()) {
      return SwapOutcome{SwapOutcome::State::kWritten, written.value(), std::nullopt};
    }
    const ErrorKind kind = written.error().kind;
    if (kind == ErrorKind::kOutcomeUnknown) {
      uncertain = true;
      context.events->Record(EventCode::kStoreAnswerLost).With(event_field::kReason, key).Emit();
    } else if (!uncertain && kind == ErrorKind::kConflict) {
      return SwapOutcome{};
    } else if (!uncertain) {
      return Fail(written.error());
    } else if (kind != ErrorKind::kConflict) {
      return Unresolved(key);
    }
    BOOST_LEAF_AUTO(settled, ReadBack(context, key, expected, value));
    if (settled.has_value()) {
      return *settled;
    }
  }
  return Unresolved(key);
}

}  // namespace pomelotray
