#ifndef POMELOTRAY_LOAD_LOAD_CLIENT_H_
#define POMELOTRAY_LOAD_LOAD_CLIENT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace pomelotray {

struct LoadAnswer {
  // 0 when there was no answer.
  int status = 0;
  std::string body;
  std::string request_id;

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

// One kept-alive connection to an HTTP server of the deployment. For one thread.
class LoadClient {
 public:
  // `address` is an IP number and a port.
  LoadClient(const std::string& address, const std::string& token);
  ~LoadClient();

  LoadAnswer Get(const std::string& path);
  LoadAnswer Post(const std::string& path, const std::string& body);
  LoadAnswer Put(const std::string& path, const std::string& body);
  // Sends an interactive request.
  LoadAnswer PostRequest(const std::string& pool, const std::string& customer,
                         const std::string& id, const std::string& body);

 private:
  struct Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_LOAD_CLIENT_H_
