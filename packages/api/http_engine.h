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

// Speaks HTTP/1.1 on accepted connections with cpp-httplib's parser. Thread-safe.
class HttpEngine {
 public:
  struct Callbacks {
    std::function<ApiReply(const ApiRequest&)> handle;
    // Tells about input that was refused before it became an ApiRequest.
    std::function<void(int status, const Error&, const std::string& remote_ip)> refused;
    // When true, a connection closes after the answer in flight.
    std::function<bool()> closing;
  };

  HttpEngine(const HttpLimits& limits, const Clock* clock, Callbacks callbacks);
  ~HttpEngine();
  HttpEngine(const HttpEngine&) = delete;
  HttpEngine& operator=(const HttpEngine&) = delete;

  // Serves requests until the connection ends. Does not close `fd`.
  void Serve(int fd);

 private:
  class Parser;
  const std::unique_ptr<Parser> parser_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_HTTP_ENGINE_H_
