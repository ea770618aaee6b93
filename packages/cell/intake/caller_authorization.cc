#include "cell/intake/caller_authorization.h"

#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace pomelotray {
namespace {

constexpr char kScheme[] = "bearer ";

// Returns the key in "Bearer <key>", or an empty text.
std::string KeyIn(const std::string& authorization) {
  if (!absl::StartsWithIgnoreCase(authorization, kScheme)) {
    return "";
  }
  return std::string(
      absl::StripAsciiWhitespace(absl::string_view(authorization).substr(sizeof(kScheme) - 1)));
}

}  // namespace

Result<CallerRights> AuthorizeCaller(const CellConfiguration& configuration,
                                     const QueueRoute& route, const std::string& authorization) {
  CallerRights rights;
  if (!configuration.requires_keys) {
    return rights;
  }
  rights.sees_all_jobs = false;
  const std::string key = KeyIn(authorization);
  const std::optional<CustomerId> customer =
      key.empty() ? std::nullopt : configuration.keys.Find(key);
  rights.customer = customer.value_or(CustomerId());
  if (route.is_public) {
    return rights;
  }
  if (!customer.has_value()) {
    return Fail(ErrorKind::kUnauthenticated,
                key.empty()
                    ? "The queue needs an API key; send \"Authorization: Bearer <key>\"."
                    : "The API key is not valid; check it, or ask the operators for a new one.");
  }
  rights.submits_for = *customer;
  const Contract* contract = configuration.FindContract(*customer);
  if (contract != nullptr) {
    rights.cap = contract->hold;
  }
  return rights;
}

}  // namespace pomelotray
