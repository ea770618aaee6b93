#include "base/error.h"

#include <array>

#include "absl/time/time.h"

namespace pomelotray {
namespace {

struct KindName {
  ErrorKind kind;
  std::string_view name;
};

constexpr std::array<KindName, 18> kKindNames = {{
    {ErrorKind::kInvalidArgument, "invalid_argument"},
    {ErrorKind::kUnauthenticated, "unauthenticated"},
    {ErrorKind::kPermissionDenied, "permission_denied"},
    {ErrorKind::kNotFound, "not_found"},
    {ErrorKind::kConflict, "conflict"},
    {ErrorKind::kIdempotencyMismatch, "idempotency_mismatch"},
    {ErrorKind::kOverLimit, "over_limit"},
    {ErrorKind::kUnplaceable, "unplaceable"},
    {ErrorKind::kDeadlineUnmeetable, "deadline_unmeetable"},
    {ErrorKind::kOwnerUnavailable, "owner_unavailable"},
    {ErrorKind::kStoreUnavailable, "store_unavailable"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown"},
    {ErrorKind::kOverloaded, "overloaded"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded"},
    {ErrorKind::kNotReady, "not_ready"},
    {ErrorKind::kUnavailable, "unavailable"},
    {ErrorKind::kFenced, "fenced"},
    {ErrorKind::kInternal, "internal"},
}};

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) {
  for (const KindName& entry : kKindNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "internal";
}

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  for (const KindName& entry : kKindNames) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return std::nullopt;
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  out << ErrorKindName(error.kind) << ": " << error.message;
  if (error.retry_after.has_value()) {
    out << " (retry after " << absl::FormatDuration(*error.retry_after) << ")";
  }
  return out;
}

}  // namespace pomelotray
