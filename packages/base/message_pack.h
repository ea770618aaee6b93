#ifndef POMELOTRAY_BASE_MESSAGE_PACK_H_
#define POMELOTRAY_BASE_MESSAGE_PACK_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace pomelotray {

// Parses untrusted MessagePack. Returns nullopt if it is malformed, or if its arrays and maps nest
// deeper than `max_depth`: the library's parser recurses for each level.
std::optional<nlohmann::json> ParseMessagePack(std::string_view bytes, int max_depth);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_MESSAGE_PACK_H_
