#ifndef POMELOTRAY_STATE_NONCE_H_
#define POMELOTRAY_STATE_NONCE_H_

#include <cstdint>
#include <string>

namespace pomelotray {

// A random number that marks one write, so that its writer recognizes it when reading it back.
uint64_t MakeNonce();
// The same as 16 hex digits.
std::string MakeNonceText();

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_NONCE_H_
