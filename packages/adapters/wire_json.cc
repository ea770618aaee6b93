#include "adapters/wire_json.h"

#include <limits>

#include "absl/strings/escaping.h"
#include "base/json_number.h"
#include "model/field_reader.h"

namespace pomelotray::wire {
namespace {

// Durations beyond this (about 31 years) are refused, so that sums of them cannot overflow.
constexpr int64_t kMaxMillis = 1'000'000'000'000;

const nlohmann::json* Find(const nlohmann::json& json, const char* field) {
  if (!json.is_object()) {
    return nullptr;
  }
  const auto it = json.find(field);
  return it == json.end() ? nullptr : &*it;
}

std::optional<int64_t> ReadAmount(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  if (value != nullptr && value->is_number_float()) {
    // The conversion of a number out of range, or of NaN, is undefined.
    const double number = value->get<double>();
    if (!(number >= 0 && number <= static_cast<double>(kMaxAmount))) {
      return std::nullopt;
    }
    return static_cast<int64_t>(number);
  }
  return ReadInt(json, field, 0, kMaxAmount);
}

}  // namespace

std::optional<std::string> ReadString(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<int64_t> ReadInt(const nlohmann::json& json, const char* field) {
  return ReadInt(json, field, std::numeric_limits<int64_t>::min(),
                 std::numeric_limits<int64_t>::max());
}

std::optional<int64_t> ReadInt(const nlohmann::json& json, const char* field, int64_t min,
                               int64_t max) {
  const nlohmann::json* value = Find(json, field);
  if (value == nullptr || !IsIntegerBetween(*value, min, max)) {
    return std::nullopt;
  }
  return value->get<int64_t>();
}

std::optional<bool> ReadBool(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  if (value == nullptr || !value->is_boolean()) {
    return std::nullopt;
  }
  return value->get<bool>();
}

std::optional<std::string> ReadBytes(const nlohmann::json& json, const char* field) {
  const std::optional<std::string> text = ReadString(json, field);
  std::string bytes;
  if (!text.has_value() || !absl::Base64Unescape(*text, &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

std::optional<absl::Duration> ReadMillis(const nlohmann::json& json, const char* field) {
  const std::optional<int64_t> millis = ReadInt(json, field);
  if (!millis.has_value() || *millis < 0 || *millis > kMaxMillis) {
    return std::nullopt;
  }
  return absl::Milliseconds(*millis);
}

std::optional<Resources> ReadResources(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::optional<int64_t> cpu = ReadAmount(*value, "cpu_milli");
  const std::optional<int64_t> memory = ReadAmount(*value, "memory_mib");
  const std::optional<int64_t> accelerators = ReadAmount(*value, "accelerators");
  const std::optional<int64_t> slots = ReadAmount(*value, "slots");
  if (!cpu || !memory || !accelerators || !slots) {
    return std::nullopt;
  }
  return Resources{MilliCores(*cpu), MebiBytes(*memory), AcceleratorCount(*accelerators),
                   SlotCount(*slots)};
}

std::optional<Epoch> ReadEpoch(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::optional<int64_t> term = ReadInt(*value, "term", 0, kMaxExactInteger);
  const std::optional<int64_t> round = ReadInt(*value, "round", 0, kMaxExactInteger);
  if (!term || !round) {
    return std::nullopt;
  }
  return Epoch{*term, *round};
}

const nlohmann::json* FindArray(const nlohmann::json& json, const char* field) {
  const nlohmann::json* value = Find(json, field);
  return value != nullptr && value->is_array() ? value : nullptr;
}

std::string ToBase64(const std::string& bytes) { return absl::Base64Escape(bytes); }

int64_t ToMillis(absl::Duration duration) {
  return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

int64_t ToMillisFloor(absl::Duration duration) {
  return absl::ToInt64Milliseconds(absl::Floor(duration, absl::Milliseconds(1)));
}

nlohmann::json ToJson(const Resources& resources) {
  return {{"cpu_milli", resources.cpu.value()},
          {"memory_mib", resources.memory.value()},
          {"accelerators", resources.accelerators.value()},
          {"slots", resources.slots.value()}};
}

nlohmann::json ToJson(const Epoch& epoch) { return {{"term", epoch.term}, {"round", epoch.round}}; }

const char* AttemptStateName(AttemptState state) {
  switch (state) {
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kSucceeded:
      return "succeeded";
    case AttemptState::kFailed:
      return "failed";
    case AttemptState::kStopped:
      return "stopped";
    case AttemptState::kLapsed:
      return "lapsed";
  }
  return "failed";
}

std::optional<AttemptState> ParseAttemptState(const std::string& name) {
  for (const AttemptState state :
       {AttemptState::kRunning, AttemptState::kSucceeded, AttemptState::kFailed,
        AttemptState::kStopped, AttemptState::kLapsed}) {
    if (name == AttemptStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

const char* StopModeName(StopMode mode) {
  switch (mode) {
    case StopMode::kCheckpoint:
      return "checkpoint";
    case StopMode::kThrottle:
      return "throttle";
    case StopMode::kStop:
      return "stop";
  }
  return "stop";
}

std::optional<StopMode> ParseStopMode(const std::string& name) {
  for (const StopMode mode : {StopMode::kCheckpoint, StopMode::kThrottle, StopMode::kStop}) {
    if (name == StopModeName(mode)) {
      return mode;
    }
  }
  return std::nullopt;
}

}  // namespace pomelotray::wire
