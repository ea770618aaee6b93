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

// An HTTP request in a form that does not depend on the HTTP library.
struct ApiRequest {
  std::string method;
  // Percent-decoded path without the query string.
  std::string path;
  std::map<std::string, std::string> query;
  // Header names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string remote_ip;
  // Path segments that matched "{}" in the route's pattern, in order.
  std::vector<std::string> parameters;

  // Returns the value of a header, or "" when the request does not have it.
  std::string Header(const std::string& lower_case_name) const;
};

// An HTTP response in a form that does not depend on the HTTP library.
struct ApiReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
};

// Handles an authorized request on behalf of the given principal.
using ApiHandler = std::function<Result<ApiReply>(const Principal&, const ApiRequest&)>;

ApiReply JsonReply(const nlohmann::json& json, int status = 200);

// Parses the query parameter `name` as an integer from `min` to `max`. Returns `fallback` when the
// parameter is missing, or kInvalidArgument when there is no fallback.
Result<int64_t> IntegerQuery(const ApiRequest& request, const std::string& name, int64_t min,
                             int64_t max, std::optional<int64_t> fallback);

}  // namespace pomelotray

#endif  // POMELOTRAY_API_API_TYPES_H_
