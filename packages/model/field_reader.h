#ifndef POMELOTRAY_MODEL_FIELD_READER_H_
#define POMELOTRAY_MODEL_FIELD_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/fault_list.h"
#include "base/resources.h"

namespace pomelotray {

// Largest amount of one resource: 512 times it still fits into 64 bits.
inline constexpr int64_t kMaxAmount = 1'000'000'000'000;
// Longest duration in a job or contract.
inline constexpr absl::Duration kMaxDuration = absl::Hours(24 * 3660);

// Reads the fields of one JSON object and adds a fault for each that is missing, of the wrong type
// or out of range. A field with a `fallback` may be missing. Finish() reports unknown fields.
class FieldReader {
 public:
  // `path` precedes the field names in faults, for example "hold.".
  FieldReader(const nlohmann::json& object, std::string path, FaultList* faults);

  std::string Text(const char* name, const std::optional<std::string>& fallback = std::nullopt);
  std::string Identifier(const char* name, bool may_be_empty = false);
  int64_t Integer(const char* name, int64_t min, int64_t max,
                  std::optional<int64_t> fallback = std::nullopt);
  // Between 0 and `max`.
  double Number(const char* name, double max, std::optional<double> fallback = std::nullopt);
  bool Boolean(const char* name, std::optional<bool> fallback = std::nullopt);
  // Whole milliseconds.
  absl::Duration Milliseconds(const char* name, absl::Duration min,
                              std::optional<absl::Duration> fallback = std::nullopt);
  absl::Time Time(const char* name);
  // Missing or null: nullopt.
  std::optional<absl::Time> OptionalTime(const char* name);
  Resources Amounts(const char* name);
  // Distinct strings; each must pass `Identifier`'s rule when `identifiers`.
  std::vector<std::string> Names(const char* name, bool identifiers);
  // The array itself, or nullptr after a fault.
  const nlohmann::json* Array(const char* name);
  // The member itself, or nullptr after a fault.
  const nlohmann::json* Object(const char* name);

  // One value out of a fixed set of names: `parse` returns an optional.
  template <typename E>
  E Choice(const char* name, std::optional<E> (*parse)(std::string_view), std::string_view remedy,
           std::optional<E> fallback = std::nullopt) {
    const nlohmann::json* value = Find(name, fallback.has_value(), remedy);
    if (value == nullptr) {
      return fallback.value_or(E{});
    }
    const std::optional<E> parsed =
        value->is_string() ? parse(value->get_ref<const std::string&>()) : std::nullopt;
    if (!parsed.has_value()) {
      AddFault(name, *value, remedy);
    }
    return parsed.value_or(E{});
  }

  void AddFault(const char* name, const nlohmann::json& value, std::string_view remedy);
  void AddProblem(const char* name, std::string_view problem, std::string_view remedy);
  // Adds a fault for each field that was not asked for.
  void Finish();

  // A value as shown in faults: shortened, and without the contents of arrays and objects.
  static std::string Show(const nlohmann::json& value);

 private:
  const nlohmann::json* Find(const char* name, bool optional, std::string_view remedy);

  const nlohmann::json& object_;
  const std::string path_;
  FaultList* const faults_;
  std::set<std::string> known_;
};

// The JSON form of an amount of resources.
nlohmann::json ResourcesToJson(const Resources& resources);
// RFC 3339 in UTC, with all digits of the fraction.
std::string TimeToText(absl::Time time);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_FIELD_READER_H_
