#include "customers/api_key_index.h"

#include <openssl/crypto.h>

#include "model/sha256.h"

namespace pomelotray {
namespace {

// Hexadecimal digits of a digest that select the bucket.
constexpr size_t kBucketDigits = 16;

}  // namespace

bool ApiKeyIndex::Add(std::string_view key, const CustomerId& customer) {
  std::string digest = Sha256Hex(key);
  const Entry* known = FindDigest(digest);
  if (known != nullptr) {
    return known->customer == customer;
  }
  std::vector<Entry>& bucket = buckets_[digest.substr(0, kBucketDigits)];
  bucket.push_back(Entry{std::move(digest), customer});
  ++size_;
  return true;
}

std::optional<CustomerId> ApiKeyIndex::Find(std::string_view key) const {
  const Entry* entry = FindDigest(Sha256Hex(key));
  return entry == nullptr ? std::nullopt : std::optional<CustomerId>(entry->customer);
}

const ApiKeyIndex::Entry* ApiKeyIndex::FindDigest(const std::string& digest) const {
  const auto bucket = buckets_.find(digest.substr(0, kBucketDigits));
  if (bucket == buckets_.end()) {
    return nullptr;
  }
  const Entry* found = nullptr;
  for (const Entry& entry : bucket->second) {
    if (CRYPTO_memcmp(entry.digest.data(), digest.data(), digest.size()) == 0) {
      found = &entry;
    }
  }
  return found;
}

}  // namespace pomelotray
