#ifndef POMELOTRAY_CELL_STORE_FAILURE_H_
#define POMELOTRAY_CELL_STORE_FAILURE_H_

#include <string_view>

#include "absl/time/time.h"
#include "base/event_log.h"

namespace pomelotray {

// When a caller should come back to whom the store's failure was told. Callers wait 3 s in all:
// this leaves them two more tries, and the end of an outage is not foreseen any better.
inline constexpr absl::Duration kStoreRetryAfter = absl::Seconds(1);

// Logs a store call whose failure its caller survives, with what the call was for.
inline void RecordStoreFailure(EventLog* events, std::string_view purpose, const Error& error) {
  events->Record(EventCode::kStoreCallFailed)
      .With("purpose", std::string(purpose))
      .With("error", ErrorKindName(error.kind))
      .With(event_field::kReason, error.message)
      .Emit();
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_FAILURE_H_
