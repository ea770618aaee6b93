#ifndef POMELOTRAY_CLI_JSON_VIEW_H_
#define POMELOTRAY_CLI_JSON_VIEW_H_

#include <nlohmann/json.hpp>
#include <string>

namespace pomelotray {

// Formats the value at a JSON pointer such as "/spec/pool" for a terminal: strings without quotes
// and with control characters replaced, "-" if the value is missing, null or empty.
std::string JsonText(const nlohmann::json& json, const std::string& pointer);
// Returns the array at `pointer`, or an empty array if there is none.
nlohmann::json JsonList(const nlohmann::json& json, const std::string& pointer);
// Replaces control characters with "?", so that text from the API cannot inject terminal escape
// sequences.
std::string Printable(std::string text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_JSON_VIEW_H_
