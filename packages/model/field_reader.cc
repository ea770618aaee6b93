#include "model/field_reader.h"

#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/identifier.h"

namespace pomelotray {
namespace {

constexpr size_t kMaxShownBytes = 64;
constexpr char kIdentifierRemedy[] = "use 1 to 64 letters, digits, '-' and '_'";
constexpr char kTimeRemedy[] = "use an RFC 3339 time such as \"2026-12-04T03:00:00Z\"";

std::optional<int64_t> AsInteger(const nlohmann::json& value) {
  if (value.is_number_unsigned()) {
    const uint64_t number = value.get<uint64_t>();
    if (number > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      return std::nullopt;
    }
    return static_cast<int64_t>(number);
  }
  if (value.is_number_integer()) {
    return value.get<int64_t>();
  }
  return std::nullopt;
}

std::optional<absl::Time> AsTime(const nlohmann::json& value) {
  absl::Time time;
  std::string error;
  if (!value.is_string() ||
      !absl::ParseTime(absl::RFC3339_full, value.get_ref<const std::string&>(), &time, &error) ||
      time < absl::UnixEpoch() || time >= absl::FromUnixSeconds(253'402'300'800)) {  // Year 10000.
    return std::nullopt;
  }
  return time;
}

}  // namespace

FieldReader::FieldReader(const nlohmann::json& object, std::string path, FaultList* faults)
    : object_(object), path_(std::move(path)), faults_(faults) {}

std::string FieldReader::Show(const nlohmann::json& value) {
  if (value.is_array()) {
    return absl::StrCat("an array of ", value.size());
  }
  if (value.is_object()) {
    return "an object";
  }
  std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

void FieldReader::AddFault(const char* name, const nlohmann::json& value, std::string_view remedy) {
  faults_->Add(path_ + name, absl::StrCat("is ", Show(value)), remedy);
}

void FieldReader::AddProblem(const char* name, std::string_view problem, std::string_view remedy) {
  faults_->Add(path_ + name, problem, remedy);
}

const nlohmann::json* FieldReader::Find(const char* name, bool optional, std::string_view remedy) {
  known_.insert(name);
  const auto it = object_.find(name);
  if (it != object_.end()) {
    return &*it;
  }
  if (!optional) {
    AddProblem(name, "is missing", remedy);
  }
  return nullptr;
}

std::string FieldReader::Text(const char* name, const std::optional<std::string>& fallback) {
  constexpr char kRemedy[] = "use a string";
  const nlohmann::json* value = Find(name, fallback.has_value(), kRemedy);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string()) {
    AddFault(name, *value, kRemedy);
    return "";
  }
  if (!IsUtf8(value->get_ref<const std::string&>())) {
    AddProblem(name, "is not UTF-8", "encode binary data as text, for example in Base64");
    return "";
  }
  return value->get<std::string>();
}

std::string FieldReader::Identifier(const char* name, bool may_be_empty) {
  const nlohmann::json* value = Find(name, may_be_empty, kIdentifierRemedy);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    AddFault(name, *value, kIdentifierRemedy);
    return "";
  }
  const std::string& text = value->get_ref<const std::string&>();
  if (!IsIdentifier(text) && !(may_be_empty && text.empty())) {
    AddFault(name, *value, kIdentifierRemedy);
  }
  return text;
}

int64_t FieldReader::Integer(const char* name, int64_t min, int64_t max,
                             std::optional<int64_t> fallback) {
  const std::string remedy = absl::StrCat("use a whole number from ", min, " to ", max);
  const nlohmann::json* value = Find(name, fallback.has_value(), remedy);
  if (value == nullptr) {
    return fallback.value_or(min);
  }
  const std::optional<int64_t> number = AsInteger(*value);
  if (!number.has_value() || *number < min || *number > max) {
    AddFault(name, *value, remedy);
    return min;
  }
  return *number;
}

double FieldReader::Number(const char* name, double max, std::optional<double> fallback) {
  const std::string remedy = absl::StrCat("use a number from 0 to ", max);
  const nlohmann::json* value = Find(name, fallback.has_value(), remedy);
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (!std::isfinite(number) || number < 0 || number > max) {
    AddFault(name, *value, remedy);
    return 0;
  }
  return number;
}

bool FieldReader::Boolean(const char* name, std::optional<bool> fallback) {
  constexpr char kRemedy[] = "use true or false";
  const nlohmann::json* value = Find(name, fallback.has_value(), kRemedy);
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->is_boolean()) {
    AddFault(name, *value, kRemedy);
    return false;
  }
  return value->get<bool>();
}

absl::Duration FieldReader::Milliseconds(const char* name, absl::Duration min,
                                         std::optional<absl::Duration> fallback) {
  std::optional<int64_t> fallback_ms;
  if (fallback.has_value()) {
    fallback_ms = absl::ToInt64Milliseconds(*fallback);
  }
  return absl::Milliseconds(Integer(name, absl::ToInt64Milliseconds(min),
                                    absl::ToInt64Milliseconds(kMaxDuration), fallback_ms));
}

absl::Time FieldReader::Time(const char* name) {
  const nlohmann::json* value = Find(name, false, kTimeRemedy);
  if (value == nullptr) {
    return absl::UnixEpoch();
  }
  const std::optional<absl::Time> time = AsTime(*value);
  if (!time.has_value()) {
    AddFault(name, *value, kTimeRemedy);
  }
  return time.value_or(absl::UnixEpoch());
}

std::optional<absl::Time> FieldReader::OptionalTime(const char* name) {
  const nlohmann::json* value = Find(name, true, kTimeRemedy);
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  return Time(name);
}

Resources FieldReader::Amounts(const char* name) {
  const nlohmann::json* value = Object(name);
  if (value == nullptr) {
    return {};
  }
  FieldReader reader(*value, absl::StrCat(path_, name, "."), faults_);
  Resources resources;
  resources.cpu = MilliCores(reader.Integer("cpu_millicores", 0, kMaxAmount, 0));
  resources.memory = MebiBytes(reader.Integer("memory_mib", 0, kMaxAmount, 0));
  resources.accelerators = AcceleratorCount(reader.Integer("accelerators", 0, kMaxAmount, 0));
  resources.slots = SlotCount(reader.Integer("slots", 0, kMaxAmount, 0));
  reader.Finish();
  return resources;
}

std::vector<std::string> FieldReader::Names(const char* name, bool identifiers) {
  std::vector<std::string> names;
  const nlohmann::json* array = Array(name);
  if (array == nullptr) {
    return names;
  }
  std::set<std::string> seen;
  for (const nlohmann::json& item : *array) {
    if (!item.is_string() || (identifiers && !IsIdentifier(item.get_ref<const std::string&>()))) {
      AddProblem(name, absl::StrCat("contains ", Show(item)), kIdentifierRemedy);
    } else if (!seen.insert(item.get<std::string>()).second) {
      AddProblem(name, absl::StrCat("contains ", Show(item), " twice"), "name each entry once");
    } else {
      names.push_back(item.get<std::string>());
    }
  }
  return names;
}

const nlohmann::json* FieldReader::Array(const char* name) {
  constexpr char kRemedy[] = "use an array";
  const nlohmann::json* value = Find(name, false, kRemedy);
  if (value != nullptr && !value->is_array()) {
    AddFault(name, *value, kRemedy);
    return nullptr;
  }
  return value;
}

const nlohmann::json* FieldReader::Object(const char* name) {
  constexpr char kRemedy[] = "use an object";
  const nlohmann::json* value = Find(name, false, kRemedy);
  if (value != nullptr && !value->is_object()) {
    AddFault(name, *value, kRemedy);
    return nullptr;
  }
  return value;
}

void FieldReader::Finish() {
  for (auto it = object_.begin(); it != object_.end(); ++it) {
    if (known_.count(it.key()) == 0) {
      std::string shown = Show(nlohmann::json(it.key()));
      faults_->Add(absl::StrCat(path_, shown.substr(1, shown.size() - 2)), "is an unknown field",
                   "remove it or correct its spelling");
    }
  }
}

nlohmann::json ResourcesToJson(const Resources& resources) {
  return {{"cpu_millicores", resources.cpu.value()},
          {"memory_mib", resources.memory.value()},
          {"accelerators", resources.accelerators.value()},
          {"slots", resources.slots.value()}};
}

std::string TimeToText(absl::Time time) {
  return absl::FormatTime(absl::RFC3339_full, time, absl::UTCTimeZone());
}

}  // namespace pomelotray
