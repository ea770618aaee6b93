#include "state/compare_and_swap.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// A second attempt resolves most lost responses. Further attempts would use up the write budget
// of a failing store.
constexpr int kMaxAttempts = 3;

boost::leaf::error_id OutcomeUnknownError(const std::string& key) {
  return Fail(ErrorKind::kOutcomeUnknown,
              absl::StrCat("The response to a write of the store key ", key,
                           " was lost and reading the key back did not determine the outcome; "
                           "read the key later."),
              absl::Seconds(1));
}

// Reads the key after a lost response. Returns the outcome of the write, or nullopt if the key
// still has the expected revision.
Result<std::optional<CompareAndSwapResult>> ReadBack(const StateContext& context,
                                                     const std::string& key, Revision expected,
                                                     const std::string& value) {
  const Outcome<std::optional<StoreEntry>> read = Capture([&] { return context.store->Get(key); });
  if (!read.ok()) {
    return OutcomeUnknownError(key);
  }
  const std::optional<StoreEntry>& entry = read.value();
  if (entry.has_value() && entry->value == value) {
    return CompareAndSwapResult{CompareAndSwapResult::State::kWritten, entry->revision,
                                std::nullopt};
  }
  if ((entry.has_value() ? entry->revision : Revision(0)) == expected) {
    return std::optional<CompareAndSwapResult>();
  }
  return CompareAndSwapResult{CompareAndSwapResult::State::kOverwritten, Revision(0), entry};
}

}  // namespace

Result<CompareAndSwapResult> CompareAndSwapWithReadBack(const StateContext& context,
                                                        const std::string& key, Revision expected,
                                                        const std::string& value,
                                                        const std::optional<StoreLeaseId>& lease) {
  bool outcome_unknown = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Outcome<Revision> written =
        Capture([&] { return context.store->CompareAndSwap(key, expected, value, lease); });
    if (written.ok()) {
      return CompareAndSwapResult{CompareAndSwapResult::State::kWritten, written.value(),
                                  std::nullopt};
    }
    const ErrorKind kind = written.error().kind;
    if (kind == ErrorKind::kOutcomeUnknown) {
      outcome_unknown = true;
      context.events->Record(EventCode::kStoreAnswerLost).With(event_field::kReason, key).Emit();
    } else if (!outcome_unknown && kind == ErrorKind::kConflict) {
      return CompareAndSwapResult{};
    } else if (!outcome_unknown) {
      return Fail(written.error());
    } else if (kind != ErrorKind::kConflict) {
      return OutcomeUnknownError(key);
    }
    BOOST_LEAF_AUTO(resolved, ReadBack(context, key, expected, value));
    if (resolved.has_value()) {
      return *resolved;
    }
  }
  return OutcomeUnknownError(key);
}

}  // namespace pomelotray
