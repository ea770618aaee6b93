#ifndef POMELOTRAY_CUSTOMERS_CAP_CODEC_H_
#define POMELOTRAY_CUSTOMERS_CAP_CODEC_H_

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "customers/cap_messages.h"

namespace pomelotray {

// JSON of the peer call "caps". Amounts are arrays of thousandths of a core, mebibytes and
// accelerators; null stands for no limit. Thread-safe.
nlohmann::json EncodeCapCall(const CapCall& call);
nlohmann::json EncodeCapReport(const CapReport& report);

// Fail with kInvalidArgument if a field is missing, has another type or is out of range.
Result<CapCall> DecodeCapCall(const nlohmann::json& value);
Result<CapReport> DecodeCapReport(const nlohmann::json& value);

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_CODEC_H_
