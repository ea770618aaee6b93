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

// Returns whether both strings are equal. The time taken depends only on their lengths, so it does
// not reveal how much of `secret` was guessed.
bool ConstantTimeEqual(std::string_view given, std::string_view secret);

// Maps the bearer token of a request to a principal. The operator token grants operator access. The
// hash of any other token must equal the caller_token_sha256 of exactly one contract, whose
// customer becomes the principal. If no operator token is configured, requests from loopback
// addresses without a token have operator access. Thread-safe.
class Authenticator {
 public:
  Authenticator(const std::string& operator_token, AdminService* service);

  // `authorization` is the value of the Authorization header, or empty if there is none.
  Result<Principal> Authenticate(const std::string& authorization, const std::string& remote_ip);

 private:
  // Bounds the memory of the token cache, which is cleared when it is full.
  static constexpr size_t kMaxCachedTokens = 4096;

  Result<Principal> AuthenticateCaller(const std::string& token_hash);
  // Checks the token against the customer's current contract, because a cached entry may be stale
  // after the token was replaced.
  bool IsTokenOf(const std::string& token_hash, const CustomerId& customer);

  const std::string operator_token_hash_;
  AdminService* const service_;
  absl::Mutex mutex_;
  // Cache that avoids reading all contracts on each request. Keys are token hashes, so that no
  // token is kept in memory.
  absl::flat_hash_map<std::string, CustomerId> customer_by_token_hash_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_AUTHENTICATOR_H_
