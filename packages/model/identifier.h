#ifndef POMELOTRAY_MODEL_IDENTIFIER_H_
#define POMELOTRAY_MODEL_IDENTIFIER_H_

#include <string_view>

namespace pomelotray {

inline constexpr size_t kMaxIdentifierLength = 64;
inline constexpr size_t kMaxKeyLength = 128;

// Ids of customers, pools, domains and VMs: letters, digits, '-' and '_', 1 to 64 characters.
bool IsIdentifier(std::string_view text);
// Idempotency keys: 1 to 128 printable ASCII characters.
bool IsIdempotencyKey(std::string_view text);
bool IsUtf8(std::string_view text);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_IDENTIFIER_H_
