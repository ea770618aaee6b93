#include "model/identifier.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/ascii.h"

namespace pomelotray {

bool IsIdentifier(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdentifierLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_';
         });
}

bool IsIdempotencyKey(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isprint(c); });
}

bool IsUtf8(std::string_view text) {
  const std::string ignored =
      nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
  const std::string replaced =
      nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return ignored == replaced;
}

}  // namespace pomelotray
