#ifndef POMELOTRAY_MODEL_SHA256_H_
#define POMELOTRAY_MODEL_SHA256_H_

#include <string>
#include <string_view>

namespace pomelotray {

// Lower-case hex SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_SHA256_H_
