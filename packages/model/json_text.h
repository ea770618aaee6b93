#ifndef POMELOTRAY_MODEL_JSON_TEXT_H_
#define POMELOTRAY_MODEL_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/error.h"

namespace pomelotray {

// Parses untrusted JSON. `subject` names the input in the error message. Nesting beyond
// kMaxJsonDepth is refused, because copying and printing JSON values recurses.
Result<nlohmann::json> ParseJson(std::string_view text, std::string_view subject);

// Serializes without failing: bytes that are not UTF-8 become U+FFFD. `indent` -1 gives one line.
std::string DumpJson(const nlohmann::json& json, int indent = -1);

inline constexpr int kMaxJsonDepth = 16;

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_JSON_TEXT_H_
