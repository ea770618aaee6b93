#include "model/sha256.h"

#include <openssl/sha.h>

#include <array>

#include "absl/strings/escaping.h"

namespace pomelotray {

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

}  // namespace pomelotray
