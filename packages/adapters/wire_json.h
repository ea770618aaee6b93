#ifndef POMELOTRAY_ADAPTERS_WIRE_JSON_H_
#define POMELOTRAY_ADAPTERS_WIRE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "base/epoch.h"
#include "base/resources.h"
#include "ports/worker_port.h"

namespace pomelotray::wire {

// JSON forms shared by the platform interfaces (docs/platform_interfaces.md). The readers return
// nullopt for a missing field, a wrong type or a value out of range; they never throw.

std::optional<std::string> ReadString(const nlohmann::json& json, const char* field);
std::optional<int64_t> ReadInt(const nlohmann::json& json, const char* field);
std::optional<int64_t> ReadInt(const nlohmann::json& json, const char* field, int64_t min,
                               int64_t max);
std::optional<bool> ReadBool(const nlohmann::json& json, const char* field);
// A string of base64; any other text is an error.
std::optional<std::string> ReadBytes(const nlohmann::json& json, const char* field);
// Whole milliseconds, not negative.
std::optional<absl::Duration> ReadMillis(const nlohmann::json& json, const char* field);
// Amounts between 0 and kMaxAmount; fractions are cut off.
std::optional<Resources> ReadResources(const nlohmann::json& json, const char* field);
std::optional<Epoch> ReadEpoch(const nlohmann::json& json, const char* field);
// The field itself if it is an array.
const nlohmann::json* FindArray(const nlohmann::json& json, const char* field);

std::string ToBase64(const std::string& bytes);
// Rounds up, so that a positive duration never becomes 0.
int64_t ToMillis(absl::Duration duration);
// Rounds down, for points in time that must not be moved later.
int64_t ToMillisFloor(absl::Duration duration);
nlohmann::json ToJson(const Resources& resources);
nlohmann::json ToJson(const Epoch& epoch);

const char* AttemptStateName(AttemptState state);
std::optional<AttemptState> ParseAttemptState(const std::string& name);
const char* StopModeName(StopMode mode);
std::optional<StopMode> ParseStopMode(const std::string& name);

}  // namespace pomelotray::wire

#endif  // POMELOTRAY_ADAPTERS_WIRE_JSON_H_
