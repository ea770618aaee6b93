#ifndef POMELOTRAY_CELL_STORE_STORE_FAILURE_H_
#define POMELOTRAY_CELL_STORE_STORE_FAILURE_H_

#include <string_view>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/event_log.h"

namespace pomelotray {

// Retry delay that is returned to a client whose request failed because of the store. Clients wait
// 3 s in total, so this allows two more attempts. The end of an outage cannot be predicted more
// precisely.
inline constexpr absl::Duration kStoreRetryAfter = absl::Seconds(1);

// Logs a failed store call that the caller tolerates. `purpose` says what the call was for.
inline void RecordStoreFailure(EventLog* events, std::string_view purpose, const Error& error) {
  events->Record(EventCode::kStoreCallFailed)
      .With("purpose", std::string(purpose))
      .With("error", ErrorKindName(error.kind))
      .With(event_field::kReason, error.message)
      .Emit();
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_STORE_FAILURE_H_
