#ifndef POMELOTRAY_API_AUTHENTICATOR_H_
#define POMELOTRAY_API_AUTHENTICATOR_H_

#include <string>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "base/error.h"
#include "ports/admin_service.h"

namespace pomelotray {

// True when both texts are equal. The time depends only on the length of `given`.
bool ConstantTimeEqual(std::string_view given, std::string_view secret);

// Finds out who makes a call. The operator token makes an operator. Any other token must hash to
// the caller_token_sha256 of exactly one contract and names that customer. Without an operator
// token, loopback callers that send no token are operators. Thread-safe.
class Authenticator {
 public:
  Authenticator(const std::string& operator_token, AdminService* service);

  // `authorization` is the value of the Authorization header, empty when there is none.
  Result<Principal> Authenticate(const std::string& authorization, const std::string& remote_ip);

 private:
  // Bounds the memory of the token cache; it is emptied when it is full.
  static constexpr size_t kMaxCachedTokens = 4096;

  Result<Principal> AuthenticateCaller(const std::string& token);
  // Confirms a cached customer against its contract as it is now.
  bool IsTokenOf(const std::string& token_hash, const CustomerId& customer);

  const std::string operator_token_hash_;
  AdminService* const service_;
  absl::Mutex mutex_;
  // Spares reading all contracts for each call. The hash of a token, not the token, is the key.
  absl::flat_hash_map<std::string, CustomerId> customers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_AUTHENTICATOR_H_
