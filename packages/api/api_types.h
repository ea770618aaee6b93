#ifndef POMELOTRAY_API_API_TYPES_H_
#define POMELOTRAY_API_API_TYPES_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "ports/admin_service.h"

namespace pomelotray {

// One HTTP request, independent of the HTTP library.
struct ApiRequest {
  std::string method;
  // Decoded path without the query.
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string remote_ip;
  // Path segments that matched "{}" in the route's template.
  std::vector<std::string> parameters;

  // The header's value, or "" when it is missing.
  std::string Header(const std::string& lower_case_name) const;
};

struct ApiReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
};

using ApiHandler = std::function<Result<ApiReply>(const Principal&, const ApiRequest&)>;

ApiReply JsonReply(const nlohmann::json& json, int status = 200);

// The value of a query parameter that is a whole number, or `fallback` when it is missing.
Result<int64_t> IntegerQuery(const ApiRequest& request, const std::string& name, int64_t min,
                             int64_t max, std::optional<int64_t> fallback);

}  // namespace pomelotray

#endif  // POMELOTRAY_API_API_TYPES_H_
