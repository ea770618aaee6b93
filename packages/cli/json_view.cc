#include "cli/json_view.h"

#include "absl/strings/ascii.h"
#include "base/json_text.h"

namespace pomelotray {
namespace {

const nlohmann::json* FindMember(const nlohmann::json& json, const std::string& pointer) {
  const nlohmann::json::json_pointer path(pointer);
  return json.contains(path) ? &json.at(path) : nullptr;
}

}  // namespace

std::string Printable(std::string text) {
  for (char& c : text) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(c))) {
      c = '?';
    }
  }
  return text;
}

std::string JsonText(const nlohmann::json& json, const std::string& pointer) {
  const nlohmann::json* member = FindMember(json, pointer);
  if (member == nullptr || member->is_null()) {
    return "-";
  }
  const std::string text = member->is_string() ? member->get<std::string>() : DumpJson(*member);
  return text.empty() ? "-" : Printable(text);
}

nlohmann::json JsonList(const nlohmann::json& json, const std::string& pointer) {
  const nlohmann::json* member = FindMember(json, pointer);
  return member != nullptr && member->is_array() ? *member : nlohmann::json::array();
}

}  // namespace pomelotray
