#ifndef POMELOTRAY_LOAD_REQUEST_TARGET_H_
#define POMELOTRAY_LOAD_REQUEST_TARGET_H_

#include <string>

#include "load/load_client.h"

namespace pomelotray {

enum class RequestOutcome {
  kAnswered,
  // Refused or not answered.
  kFailed,
  // The answer is not that of the request.
  kWrongAnswer,
};

// The names that the load's contract uses.
inline constexpr char kLoadCustomer[] = "load";
inline constexpr char kRequestPool[] = "quoting";
inline constexpr char kJobPool[] = "counter";

// Where one client thread sends its requests. Checks every answer against the digest of its body.
class RequestTarget {
 public:
  virtual ~RequestTarget() = default;
  virtual RequestOutcome Call(const std::string& id, const std::string& body) = 0;
};

// An instance's HTTP API.
class ApiRequestTarget : public RequestTarget {
 public:
  ApiRequestTarget(const std::string& address, const std::string& token)
      : client_(address, token) {}
  RequestOutcome Call(const std::string& id, const std::string& body) override;

 private:
  LoadClient client_;
};

// An executor, called without pomelotray.
class DirectRequestTarget : public RequestTarget {
 public:
  explicit DirectRequestTarget(const std::string& address) : client_(address, "") {}
  RequestOutcome Call(const std::string& id, const std::string& body) override;

 private:
  LoadClient client_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_REQUEST_TARGET_H_
