#ifndef POMELOTRAY_CELL_RECORDS_RECORD_JSON_H_
#define POMELOTRAY_CELL_RECORDS_RECORD_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/time/time.h"
#include "base/decode_json.h"

namespace pomelotray {

// Helpers for decoding the records of jobs and workers in the store. They throw exceptions of the
// JSON library, so that DecodeJson() returns an Error.

// Names a stored record in the error's message.
DecodeSubject StoredSubject(const char* what);

[[noreturn]] void ThrowUnreadable(const std::string& reason, const nlohmann::json& value);

// Returns 0 if `value` has no field `field`, else a number between 0 and `max`.
int64_t OptionalInteger(const nlohmann::json& value, const char* field, int64_t max);
// Returns zero if `value` has no field `field`.
absl::Duration OptionalMillis(const nlohmann::json& value, const char* field);
// Fails if `value` is not a number or does not fit into an int.
int IntFromJson(const nlohmann::json& value);
// Return the array in the field `field`. Without the field, OptionalArray() returns an empty one.
nlohmann::json OptionalArray(const nlohmann::json& value, const char* field);
nlohmann::json RequiredArray(const nlohmann::json& value, const char* field);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_RECORD_JSON_H_
