#ifndef POMELOTRAY_CLI_JSON_VIEW_H_
#define POMELOTRAY_CLI_JSON_VIEW_H_

#include <nlohmann/json.hpp>
#include <string>

namespace pomelotray {

// The member at `pointer`, such as "/spec/pool", as text for a terminal: strings without quotes and
// with control characters replaced, "-" when it is missing, null or empty.
std::string JsonText(const nlohmann::json& json, const std::string& pointer);
// The array at `pointer`, empty when there is none.
nlohmann::json JsonList(const nlohmann::json& json, const std::string& pointer);
// Replaces control characters, so that a reason or payload cannot act on the terminal.
std::string Printable(std::string text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_JSON_VIEW_H_
