#ifndef POMELOTRAY_CUSTOMERS_API_KEY_INDEX_H_
#define POMELOTRAY_CUSTOMERS_API_KEY_INDEX_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/strong_id.h"

namespace pomelotray {

// Maps API keys to customers. Keeps only the SHA-256 digests of the keys, so that none can get into
// a log line or an error from here. Thread-compatible: concurrent calls of const members are safe.
class ApiKeyIndex {
 public:
  // Adds a key. Returns false and changes nothing if the key belongs to another customer.
  bool Add(std::string_view key, const CustomerId& customer);
  // Returns the customer with this key, or no value if nobody has it. Digests are compared in
  // constant time; the time taken depends on the length of `key`.
  std::optional<CustomerId> Find(std::string_view key) const;
  size_t size() const { return size_; }

 private:
  struct Entry {
    std::string digest;
    CustomerId customer;
  };

  const Entry* FindDigest(const std::string& digest) const;

  // Entries by the first 64 bits of their digests. Time differences between buckets reveal nothing
  // useful: a digest with a chosen prefix of that length cannot be computed in practice.
  absl::flat_hash_map<std::string, std::vector<Entry>> buckets_;
  size_t size_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_API_KEY_INDEX_H_
