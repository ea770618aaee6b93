#ifndef POMELOTRAY_API_HTTP_ENGINE_H_
#define POMELOTRAY_API_HTTP_ENGINE_H_

#include <functional>
#include <memory>
#include <string>

#include "api/api_types.h"
#include "api/http_limits.h"
#include "base/clock.h"
#include "base/error.h"

namespace pomelotray {

// Serves HTTP/1.1 on accepted connections with the parser of cpp-httplib. Thread-safe.
class HttpEngine {
 public:
  struct Callbacks {
    // Computes the response to a request.
    std::function<ApiReply(const ApiRequest&)> handle;
    // Called after a request was refused without calling `handle`.
    std::function<void(int status, const Error&, const std::string& remote_ip)> refused;
    // Returns whether connections must be closed after the current response.
    std::function<bool()> closing;
  };

  HttpEngine(const HttpLimits& limits, const Clock* clock, Callbacks callbacks);
  ~HttpEngine();
  HttpEngine(const HttpEngine&) = delete;
  HttpEngine& operator=(const HttpEngine&) = delete;

  // Serves the requests of one connection until it ends. Does not close `fd`.
  void Serve(int fd);

 private:
  class Parser;
  const std::unique_ptr<Parser> parser_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_HTTP_ENGINE_H_
