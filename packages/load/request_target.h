#ifndef POMELOTRAY_LOAD_REQUEST_TARGET_H_
#define POMELOTRAY_LOAD_REQUEST_TARGET_H_

#include <string>

#include "load/load_client.h"

namespace pomelotray {

enum class RequestOutcome {
  kAnswered,
  // The request was refused or not answered.
  kFailed,
  // The answer belongs to another request.
  kWrongAnswer,
};

// Names of the customer and the pools in the contract of the load test.
inline constexpr char kLoadCustomer[] = "load";
inline constexpr char kRequestPool[] = "quoting";
inline constexpr char kJobPool[] = "counter";

// Destination of the requests of one client thread. Implementations check that each answer holds
// the digest of the request's body.
class RequestTarget {
 public:
  virtual ~RequestTarget() = default;
  virtual RequestOutcome Call(const std::string& id, const std::string& body) = 0;
};

// Sends requests to the HTTP API of an instance.
class ApiRequestTarget : public RequestTarget {
 public:
  ApiRequestTarget(const std::string& address, const std::string& token)
      : client_(address, token) {}
  RequestOutcome Call(const std::string& id, const std::string& body) override;

 private:
  LoadClient client_;
};

// Sends requests directly to an executor, bypassing pomelotray.
class DirectRequestTarget : public RequestTarget {
 public:
  explicit DirectRequestTarget(const std::string& address) : client_(address, "") {}
  RequestOutcome Call(const std::string& id, const std::string& body) override;

 private:
  LoadClient client_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_REQUEST_TARGET_H_
