#ifndef POMELOTRAY_BASE_JSON_TEXT_H_
#define POMELOTRAY_BASE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/error.h"

namespace pomelotray {

// Whether arrays and objects in the JSON text are nested deeper than kMaxJsonDepth. Copying and
// printing JSON values recurses, so such a text must not be parsed.
bool NestsTooDeep(std::string_view text);

// Parses untrusted JSON. `subject` names the input in the error message. A text
// that nests too deep is refused.
Result<nlohmann::json> ParseJson(std::string_view text, std::string_view subject);

// Serializes without failing: bytes that are not UTF-8 become U+FFFD. `indent` -1 gives one line.
std::string DumpJson(const nlohmann::json& json, int indent = -1);

inline constexpr int kMaxJsonDepth = 16;

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_JSON_TEXT_H_
