#include "cell/records/job_id_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/records/record_json.h"

namespace pomelotray {

using nlohmann::json;

bool JobIdRecord::IsWithdrawnFor(const CustomerId& owner) const {
  // Jobs without a customer can be cancelled by all callers.
  return IsWithdrawn() && (owner.empty() || std::find(withdrawn_by.begin(), withdrawn_by.end(),
                                                      owner) != withdrawn_by.end());
}

std::string EncodeJobIdRecord(const JobIdRecord& record) {
  json value = {{"part", record.part.value()}};
  if (!record.customer.empty()) {
    value["customer"] = record.customer.value();
  }
  if (record.IsWithdrawn()) {
    json customers = json::array();
    for (const CustomerId& customer : record.withdrawn_by) {
      customers.push_back(customer.value());
    }
    value["withdrawn_by"] = std::move(customers);
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
    for (const json& customer : OptionalArray(value, "withdrawn_by")) {
      record.withdrawn_by.emplace_back(customer.get<std::string>());
    }
    return record;
  });
}

}  // namespace pomelotray
