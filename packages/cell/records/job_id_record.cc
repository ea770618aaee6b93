#include "cell/records/job_id_record.h"

#include <nlohmann/json.hpp>

#include "cell/records/record_json.h"

namespace pomelotray {

using nlohmann::json;

std::string EncodeJobIdRecord(const JobIdRecord& record) {
  json value = {{"part", record.part.value()}};
  if (!record.customer.empty()) {
    value["customer"] = record.customer.value();
  }
  return value.dump();
}

Result<JobIdRecord> DecodeJobIdRecord(const std::string& text) {
  return DecodeJson(text, StoredSubject("entry of a job id"), [](const json& value) {
    JobIdRecord record;
    record.part = PartName(value.at("part").get<std::string>());
    if (!PoolPart::Parse(record.part).has_value()) {
      ThrowUnreadable("part does not name a part of a pool", value);
    }
    record.customer = CustomerId(value.value("customer", ""));
    return record;
  });
}

}  // namespace pomelotray
