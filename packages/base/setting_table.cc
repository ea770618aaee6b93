#include "base/setting_table.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

namespace pomelotray {
namespace {

constexpr char kFileSuffix[] = "-file";
constexpr size_t kMaxSecretBytes = 4096;

// Reads at most one byte more than a secret may have.
std::optional<std::string> ReadSecretFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text(kMaxSecretBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  absl::StripTrailingAsciiWhitespace(&text);
  return text;
}

std::optional<Settings::Value> ParseAddresses(const std::string& text) {
  Settings::Addresses addresses;
  if (text.empty()) {
    return addresses;
  }
  const std::vector<std::string> parts = absl::StrSplit(text, ',');
  for (const std::string& part : parts) {
    const std::optional<SocketAddress> address = SocketAddress::Parse(part);
    if (!address.has_value()) {
      return std::nullopt;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

}  // namespace

std::string EnvironmentName(const std::string& flag) {
  return absl::StrCat("POMELOTRAY_",
                      absl::AsciiStrToUpper(absl::StrReplaceAll(flag, {{"-", "_"}})));
}

std::optional<std::string> EnvironmentVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

SettingTable& SettingTable::Add(Spec spec) {
  specs_.push_back(std::move(spec));
  return *this;
}

SettingTable& SettingTable::Text(const std::string& flag, const Default& value,
                                 const std::string& help) {
  Spec spec;
  spec.flag = flag;
  spec.value = value;
  spec.help = help;
  spec.remedy = "set it to a text";
  return Add(spec);
}

SettingTable& SettingTable::Integer(const std::string& flag, int64_t min, int64_t max,
                                    const Default& value, const std::string& help) {
  Spec spec;
  spec.type = Type::kInteger;
  spec.flag = flag;
  spec.value = value;
  spec.help = help;
  spec.min_integer = min;
  spec.max_integer = max;
  spec.remedy = absl::StrCat("use a whole number from ", min, " to ", max);
  return Add(spec);
}

SettingTable& SettingTable::Duration(const std::string& flag, absl::Duration min,
                                     absl::Duration max, const Default& value,
                                     const std::string& help) {
  Spec spec;
  spec.type = Type::kDuration;
  spec.flag = flag;
  spec.value = value;
  spec.help = help;
  spec.min_duration = min;
  spec.max_duration = max;
  spec.remedy = absl::StrCat("use a duration from ", absl::FormatDuration(min), " to ",
                             absl::FormatDuration(max), ", such as \"500ms\"");
  return Add(spec);
}

SettingTable& SettingTable::Address(const std::string& flag, const Default& value,
                                    const std::string& help) {
  Spec spec;
  spec.type = Type::kAddress;
  spec.flag = flag;
  spec.value = value;
  spec.help = help;
  spec.remedy = "use <ip>:<port>, such as 127.0.0.1:7070 or [::1]:7070";
  return Add(spec);
}

SettingTable& SettingTable::AddressList(const std::string& flag, const Default& value,
                                        const std::string& help) {
  Spec spec;
  spec.type = Type::kAddressList;
  spec.flag = flag;
  spec.value = value;
  spec.help = help;
  spec.remedy = "use <ip>:<port>, several separated by commas";
  return Add(spec);
}

SettingTable& SettingTable::Boolean(const std::string& flag, bool value, const std::string& help) {
  Spec spec;
  spec.type = Type::kBoolean;
  spec.flag = flag;
  spec.value = value ? "true" : "false";
  spec.help = help;
  spec.remedy = "use true or false";
  return Add(spec);
}

SettingTable& SettingTable::Secret(const std::string& flag, const std::string& help) {
  Spec spec;
  spec.type = Type::kSecret;
  spec.flag = flag;
  spec.value = "";
  spec.help = help;
  spec.remedy = absl::StrCat("use 1 to ", kMaxSecretBytes, " printable ASCII characters");
  return Add(spec);
}

std::optional<SettingTable::Source> SettingTable::FindSource(const std::string& flag,
                                                             const Flags& flags,
                                                             const Environment& environment) {
  const auto it = flags.find(flag);
  if (it != flags.end()) {
    return Source{it->second, absl::StrCat("the flag --", flag)};
  }
  const std::string name = EnvironmentName(flag);
  const std::optional<std::string> value = environment(name);
  if (value.has_value()) {
    return Source{*value, absl::StrCat("the environment variable ", name)};
  }
  return std::nullopt;
}

std::optional<Settings::Value> SettingTable::Parse(const Spec& spec, const std::string& text) {
  switch (spec.type) {
    case Type::kInteger: {
      int64_t number = 0;
      if (absl::SimpleAtoi(text, &number) && number >= spec.min_integer &&
          number <= spec.max_integer) {
        return number;
      }
      return std::nullopt;
    }
    case Type::kDuration: {
      absl::Duration duration;
      if (absl::ParseDuration(text, &duration) && duration >= spec.min_duration &&
          duration <= spec.max_duration) {
        return duration;
      }
      return std::nullopt;
    }
    case Type::kAddress: {
      const std::optional<SocketAddress> address = SocketAddress::Parse(text);
      if (address.has_value()) {
        return Settings::Addresses{*address};
      }
      return std::nullopt;
    }
    case Type::kAddressList:
      return ParseAddresses(text);
    case Type::kBoolean:
      if (text == "true" || text == "false") {
        return text == "true";
      }
      return std::nullopt;
    case Type::kText:
    case Type::kSecret:
      return text;
  }
  return std::nullopt;
}

Settings::Value SettingTable::ReadValue(const Spec& spec, const Flags& flags,
                                        const Environment& environment, FaultList* faults) {
  std::optional<Source> source = FindSource(spec.flag, flags, environment);
  if (!source.has_value()) {
    if (!spec.value.has_value()) {
      faults->Add(absl::StrCat("--", spec.flag),
                  absl::StrCat("is not set by flag or ", EnvironmentName(spec.flag)), spec.remedy);
      return std::string();
    }
    source = Source{*spec.value, "the default"};
  }
  const std::optional<Settings::Value> value = Parse(spec, source->text);
  if (!value.has_value()) {
    faults->Add(absl::StrCat("--", spec.flag),
                absl::StrCat("is \"", source->text, "\" from ", source->origin), spec.remedy);
    return std::string();
  }
  return *value;
}

std::string SettingTable::ReadSecret(const Spec& spec, const Flags& flags,
                                     const Environment& environment, FaultList* faults) {
  const std::string name = absl::StrCat("--", spec.flag);
  const std::string file_flag = spec.flag + kFileSuffix;
  std::optional<Source> value = FindSource(spec.flag, flags, environment);
  std::optional<Source> file = FindSource(file_flag, flags, environment);
  // A flag of either form goes before an environment variable of the other form.
  if (value.has_value() && file.has_value() &&
      (flags.count(spec.flag) > 0) != (flags.count(file_flag) > 0)) {
    (flags.count(spec.flag) > 0 ? file : value).reset();
  }
  if (value.has_value() && file.has_value()) {
    faults->Add(name, absl::StrCat("is set by ", value->origin, " and by ", file->origin),
                "set one of the two");
    return "";
  }
  if (file.has_value()) {
    const std::optional<std::string> content = ReadSecretFile(file->text);
    if (!content.has_value()) {
      faults->Add(
          absl::StrCat("--", file_flag),
          absl::StrCat("is \"", file->text, "\" from ", file->origin, ", which cannot be read"),
          "name a readable file");
      return "";
    }
    value = Source{*content, absl::StrCat("the file \"", file->text, "\"")};
  }
  if (!value.has_value()) {
    return "";
  }
  const std::string& text = value->text;
  if (text.empty() || text.size() > kMaxSecretBytes ||
      !std::all_of(text.begin(), text.end(),
                   [](unsigned char c) { return absl::ascii_isgraph(c); })) {
    faults->Add(name, absl::StrCat("from ", value->origin, " is not a usable secret"),
                absl::StrCat(spec.remedy, " without spaces"));
  }
  return text;
}

Result<Settings> SettingTable::Read(const Flags& flags, const Environment& environment) const {
  FaultList faults;
  std::map<std::string, Settings::Value> values;
  for (const Spec& spec : specs_) {
    if (spec.type == Type::kSecret) {
      values[spec.flag] = ReadSecret(spec, flags, environment, &faults);
    } else {
      values[spec.flag] = ReadValue(spec, flags, environment, &faults);
    }
  }
  BOOST_LEAF_CHECK(faults.Check("configuration"));
  return Settings(std::move(values));
}

std::string SettingTable::OptionsText() const {
  std::string text;
  for (const Spec& spec : specs_) {
    absl::StrAppend(&text, "  --", spec.flag, "=<value>  ", spec.help);
    if (spec.type == Type::kSecret) {
      absl::StrAppend(&text, "\n  --", spec.flag, kFileSuffix,
                      "=<value>  File that holds the value of --", spec.flag, ".\n");
    } else if (spec.value.has_value()) {
      absl::StrAppend(&text, " (default \"", *spec.value, "\")\n");
    } else {
      absl::StrAppend(&text, " (required)\n");
    }
  }
  return text;
}

std::vector<std::string> SettingTable::FlagNames() const {
  std::vector<std::string> names;
  for (const Spec& spec : specs_) {
    names.push_back(spec.flag);
    if (spec.type == Type::kSecret) {
      names.push_back(spec.flag + kFileSuffix);
    }
  }
  return names;
}

}  // namespace pomelotray
