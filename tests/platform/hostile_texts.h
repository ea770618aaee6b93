#ifndef POMELOTRAY_TESTS_PLATFORM_HOSTILE_TEXTS_H_
#define POMELOTRAY_TESTS_PLATFORM_HOSTILE_TEXTS_H_

#include <string>
#include <vector>

namespace pomelotray::platform {

// Deep enough to overflow the stack of a thread in which a copy or destructor recurses.
inline constexpr size_t kHostileDepth = 3'000'000;

// Returns arrays nested kHostileDepth levels deep. If not `closed`, their ends are missing.
inline std::string NestedArrays(bool closed) {
  return std::string(kHostileDepth, '[') + (closed ? std::string(kHostileDepth, ']') : "");
}

// JSON values that parse, but are out of range or of another type than a count.
inline std::vector<std::string> HostileNumbers() {
  return {"9223372036854775807",
          "18446744073709551615",
          "1e300",
          "-1e300",
          "-1",
          "-0.5",
          "\"7\"",
          "null",
          "[7]",
          "{}",
          "true"};
}

}  // namespace pomelotray::platform

#endif  // POMELOTRAY_TESTS_PLATFORM_HOSTILE_TEXTS_H_
