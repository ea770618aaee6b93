#include "cli/arguments.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {

Result<Arguments> Arguments::Parse(const std::string& help_text,
                                   const std::vector<std::string>& args, bool options_first) {
  Arguments arguments;
  try {
    arguments.values_ = docopt::docopt_parse(help_text, args, false, false, options_first);
  } catch (const std::runtime_error& error) {
    const std::string reason = error.what();
    return Fail(ErrorKind::kInvalidArgument,
                reason.empty() ? "The command line does not match the usage." : reason + ".");
  }
  return arguments;
}

bool Arguments::Has(const std::string& name) const {
  const auto it = values_.find(name);
  return it != values_.end() && it->second.isBool() && it->second.asBool();
}

std::optional<std::string> Arguments::Text(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end() || !it->second.isString()) {
    return std::nullopt;
  }
  return it->second.asString();
}

std::vector<std::string> Arguments::List(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end() || !it->second.isStringList()) {
    return {};
  }
  return it->second.asStringList();
}

Result<std::optional<absl::Duration>> Arguments::Duration(const std::string& name) const {
  const std::optional<std::string> text = Text(name);
  absl::Duration duration;
  if (!text.has_value()) {
    return std::optional<absl::Duration>();
  }
  if (!absl::ParseDuration(*text, &duration) || duration < absl::ZeroDuration() ||
      duration > absl::Hours(24 * 3660)) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat(name, " is \"", *text, "\"; use a duration such as \"1m30s\"."));
  }
  return std::optional<absl::Duration>(duration);
}

Result<std::optional<int64_t>> Arguments::Integer(const std::string& name) const {
  const std::optional<std::string> text = Text(name);
  int64_t number = 0;
  if (!text.has_value()) {
    return std::optional<int64_t>();
  }
  if (!absl::SimpleAtoi(*text, &number)) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat(name, " is \"", *text, "\"; use a whole number."));
  }
  return std::optional<int64_t>(number);
}

}  // namespace pomelotray
