#include "state/nonce.h"

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {

uint64_t MakeNonce() {
  thread_local absl::BitGen generator;
  return absl::Uniform<uint64_t>(generator);
}

std::string MakeNonceText() { return absl::StrCat(absl::Hex(MakeNonce(), absl::kZeroPad16)); }

}  // namespace pomelotray
