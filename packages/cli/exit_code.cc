#include "cli/exit_code.h"

namespace pomelotray {

int ExitCodeOf(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kOverLimit:
    case ErrorKind::kUnplaceable:
    case ErrorKind::kDeadlineUnmeetable:
    case ErrorKind::kOwnerUnavailable:
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kOverloaded:
    case ErrorKind::kNotReady:
    case ErrorKind::kFenced:
      return kExitRefused;
    case ErrorKind::kUnavailable:
      // Only an instance that rejects a call sets `retry_after`; a connection failure does not.
      return error.retry_after.has_value() ? kExitRefused : kExitUnreachable;
    case ErrorKind::kConflict:
    case ErrorKind::kIdempotencyMismatch:
      return kExitConflict;
    case ErrorKind::kOutcomeUnknown:
      return kExitOutcomeUnknown;
    default:
      return kExitFailed;
  }
}

}  // namespace pomelotray
