#ifndef POMELOTRAY_STATE_NONCE_H_
#define POMELOTRAY_STATE_NONCE_H_

#include <cstdint>
#include <string>

namespace pomelotray {

// Returns a random number that identifies one write, so that the writer recognizes its own value
// when it reads the key back.
uint64_t MakeNonce();
// Returns a nonce as 16 hexadecimal digits.
std::string MakeNonceText();

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_NONCE_H_
