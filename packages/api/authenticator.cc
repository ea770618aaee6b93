#include "api/authenticator.h"

#include <openssl/crypto.h>

#include <vector>

#include "absl/strings/match.h"
#include "base/socket_address.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

constexpr char kScheme[] = "bearer ";

}  // namespace

bool ConstantTimeEqual(std::string_view given, std::string_view secret) {
  return given.size() == secret.size() &&
         CRYPTO_memcmp(given.data(), secret.data(), secret.size()) == 0;
}

Authenticator::Authenticator(const std::string& operator_token, AdminService* service)
    : operator_token_hash_(operator_token.empty() ? "" : Sha256Hex(operator_token)),
      service_(service) {}

Result<Principal> Authenticator::Authenticate(const std::string& authorization,
                                              const std::string& remote_ip) {
  if (authorization.empty()) {
    if (operator_token_hash_.empty() && IsLoopbackIp(remote_ip)) {
      return Principal{true, CustomerId()};
    }
    return Fail(ErrorKind::kUnauthenticated,
                "The request has no Authorization header; send \"Authorization: Bearer <token>\".");
  }
  if (!absl::StartsWithIgnoreCase(authorization, kScheme)) {
    return Fail(ErrorKind::kUnauthenticated,
                "The Authorization header is not of the form \"Bearer <token>\"; correct it.");
  }
  const std::string token = authorization.substr(sizeof(kScheme) - 1);
  const std::string hash = Sha256Hex(token);
  // All hashes have the same length, so the comparison does not reveal the length of the operator
  // token.
  if (!operator_token_hash_.empty() && ConstantTimeEqual(hash, operator_token_hash_)) {
    return Principal{true, CustomerId()};
  }
  return AuthenticateCaller(hash);
}

bool Authenticator::IsTokenOf(const std::string& token_hash, const CustomerId& customer) {
  const Outcome<Contract> contract = Capture([&] { return service_->GetContract(customer); });
  return contract.ok() && ConstantTimeEqual(token_hash, contract.value().caller_token_sha256);
}

Result<Principal> Authenticator::AuthenticateCaller(const std::string& token_hash) {
  CustomerId cached;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = customer_by_token_hash_.find(token_hash);
    if (it != customer_by_token_hash_.end()) {
      cached = it->second;
    }
  }
  if (!cached.empty() && IsTokenOf(token_hash, cached)) {
    return Principal{false, cached};
  }
  BOOST_LEAF_AUTO(contracts, service_->ListContracts());
  std::vector<CustomerId> matches;
  for (const Contract& contract : contracts) {
    if (ConstantTimeEqual(token_hash, contract.caller_token_sha256)) {
      matches.push_back(contract.customer);
    }
  }
  if (matches.size() != 1) {
    return Fail(ErrorKind::kUnauthenticated,
                matches.empty()
                    ? "The token matches no contract; check it, or have an operator set "
                      "caller_token_sha256 in the contract."
                    : "The token matches more than one contract; have an operator give each "
                      "customer a unique token.");
  }
  absl::MutexLock lock(&mutex_);
  if (customer_by_token_hash_.size() >= kMaxCachedTokens) {
    customer_by_token_hash_.clear();
  }
  customer_by_token_hash_[token_hash] = matches.front();
  return Principal{false, matches.front()};
}

}  // namespace pomelotray
