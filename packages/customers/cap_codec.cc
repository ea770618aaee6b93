#include "customers/cap_codec.h"

#include <cmath>
#include <string>
#include <utility>

#include "base/json_number.h"
#include "customers/cap_dimensions.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// A configuration has at most 10,000 keys, so no more customers can call.
constexpr size_t kMaxCustomers = 10'000;
constexpr size_t kMaxNameLength = 1'024;
// Jobs per second; far beyond what a cell can accept.
constexpr double kMaxRate = 1e9;

// Creates the exception that Decode() turns into an error. The id is of no interest.
json::exception MakeError(const std::string& what) {
  return json::other_error::create(501, what, nullptr);
}

template <typename T, typename DecodeValue>
Result<T> Decode(const char* what, const DecodeValue& decode) {
  try {
    return decode();
  } catch (const json::exception& error) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string(what) + " cannot be decoded: " + error.what() +
                    "; check that all instances run the same version.");
  }
}

json EncodeAmounts(const Resources& resources) {
  json value = json::array();
  for (const int64_t amount : ToCapAmounts(resources)) {
    value.push_back(amount > kMaxExactInteger ? json() : json(amount));
  }
  return value;
}

Resources DecodeAmounts(const json& value) {
  if (!value.is_array() || value.size() != kCapDimensions) {
    throw MakeError("an amount does not have three dimensions");
  }
  CapAmounts amounts{};
  for (size_t d = 0; d < kCapDimensions; ++d) {
    amounts[d] = value[d].is_null() ? kNoLimit : IntegerFromJson(value[d], 0, kMaxExactInteger);
  }
  return ToResources(amounts);
}

std::optional<Resources> DecodeOptionalAmounts(const json& value, const char* field) {
  const auto it = value.find(field);
  return it == value.end() ? std::nullopt : std::optional<Resources>(DecodeAmounts(*it));
}

int64_t DecodeNumber(const json& value) { return IntegerFromJson(value, 0, kMaxExactInteger); }

double DecodeRate(const json& value) {
  const double rate = value.get<double>();
  if (!std::isfinite(rate) || rate < 0 || rate > kMaxRate) {
    throw MakeError("a rate is out of range");
  }
  return rate;
}

std::string DecodeName(const json& value) {
  std::string name = value.get<std::string>();
  if (name.empty() || name.size() > kMaxNameLength) {
    throw MakeError("a name is empty or too long");
  }
  return name;
}

// Calls `decode` with the name and the value of each customer.
template <typename DecodeCustomer>
void ForEachCustomer(const json& value, const DecodeCustomer& decode) {
  const json& customers = value.at("customers");
  if (!customers.is_object() || customers.size() > kMaxCustomers) {
    throw MakeError("the customers are not an object or too many");
  }
  for (const auto& [name, entry] : customers.items()) {
    decode(CustomerId(DecodeName(json(name))), entry);
  }
}

}  // namespace

json EncodeCapCall(const CapCall& call) {
  json customers = json::object();
  for (const auto& [customer, grant] : call.customers) {
    json& entry = customers[customer.value()];
    entry["rate_elsewhere"] = grant.rate_elsewhere;
    if (grant.allowance.has_value()) {
      entry["allowance"] = EncodeAmounts(*grant.allowance);
      entry["cap"] = EncodeAmounts(grant.cap);
    }
  }
  return {{"part", call.part.value()},
          {"owner_term", call.owner_term},
          {"coordinator", call.coordinator.value()},
          {"coordinator_term", call.coordinator_term},
          {"sequence", call.sequence},
          {"customers", std::move(customers)}};
}

json EncodeCapReport(const CapReport& report) {
  json customers = json::object();
  for (const auto& [customer, use] : report.customers) {
    json& entry = customers[customer.value()];
    entry["used"] = EncodeAmounts(use.used);
    entry["inherited"] = EncodeAmounts(use.inherited);
    entry["waiting"] = EncodeAmounts(use.waiting);
    entry["unit"] = EncodeAmounts(use.unit);
    entry["rate"] = use.rate;
    if (use.allowance.has_value()) {
      entry["allowance"] = EncodeAmounts(*use.allowance);
    }
  }
  return {{"owner_term", report.owner_term},
          {"sequence", report.sequence},
          {"capacity", EncodeAmounts(report.capacity)},
          {"customers", std::move(customers)}};
}

Result<CapCall> DecodeCapCall(const json& value) {
  return Decode<CapCall>("A \"caps\" call", [&value] {
    CapCall call;
    call.part = PartName(DecodeName(value.at("part")));
    call.owner_term = DecodeNumber(value.at("owner_term"));
    call.coordinator = PartName(DecodeName(value.at("coordinator")));
    call.coordinator_term = DecodeNumber(value.at("coordinator_term"));
    call.sequence = DecodeNumber(value.at("sequence"));
    ForEachCustomer(value, [&call](const CustomerId& customer, const json& entry) {
      CapGrant& grant = call.customers[customer];
      grant.allowance = DecodeOptionalAmounts(entry, "allowance");
      if (grant.allowance.has_value()) {
        grant.cap = DecodeAmounts(entry.at("cap"));
      }
      grant.rate_elsewhere = DecodeRate(entry.at("rate_elsewhere"));
    });
    return call;
  });
}

Result<CapReport> DecodeCapReport(const json& value) {
  return Decode<CapReport>("The answer to a \"caps\" call", [&value] {
    CapReport report;
    report.owner_term = DecodeNumber(value.at("owner_term"));
    report.sequence = DecodeNumber(value.at("sequence"));
    report.capacity = DecodeAmounts(value.at("capacity"));
    ForEachCustomer(value, [&report](const CustomerId& customer, const json& entry) {
      CapUse& use = report.customers[customer];
      use.used = DecodeAmounts(entry.at("used"));
      use.inherited = DecodeAmounts(entry.at("inherited"));
      use.waiting = DecodeAmounts(entry.at("waiting"));
      use.unit = DecodeAmounts(entry.at("unit"));
      use.rate = DecodeRate(entry.at("rate"));
      use.allowance = DecodeOptionalAmounts(entry, "allowance");
    });
    return report;
  });
}

}  // namespace pomelotray
