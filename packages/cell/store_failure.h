#ifndef POMELOTRAY_CELL_STORE_FAILURE_H_
#define POMELOTRAY_CELL_STORE_FAILURE_H_

#include <string_view>

#include "base/event_log.h"

namespace pomelotray {

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
