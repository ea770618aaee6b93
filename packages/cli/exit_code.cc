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
      // An instance that refuses names a time to retry; a missing answer has none.
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
