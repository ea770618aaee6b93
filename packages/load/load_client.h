#ifndef POMELOTRAY_LOAD_LOAD_CLIENT_H_
#define POMELOTRAY_LOAD_LOAD_CLIENT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace pomelotray {

struct LoadAnswer {
  // HTTP status code; 0 if there was no answer.
  int status = 0;
  std::string body;
  std::string request_id;

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

// HTTP client with one keep-alive connection to a server of the deployment. Not thread-safe.
class LoadClient {
 public:
  // `address` is an IP address and a port, separated by a colon.
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
