#include "load/load_client.h"

#include <httplib.h>

namespace pomelotray {
namespace {

constexpr time_t kConnectTimeoutSeconds = 2;
constexpr time_t kAnswerTimeoutSeconds = 10;
constexpr char kJsonType[] = "application/json";
constexpr char kRequestIdHeader[] = "Pomelotray-Request-Id";

LoadAnswer ToAnswer(const httplib::Result& result) {
  if (!result) {
    return LoadAnswer{};
  }
  return LoadAnswer{result->status, result->body, result->get_header_value(kRequestIdHeader)};
}

}  // namespace

struct LoadClient::Impl {
  explicit Impl(const std::string& address) : client("http://" + address) {}
  httplib::Client client;
};

LoadClient::LoadClient(const std::string& address, const std::string& token)
    : impl_(std::make_unique<Impl>(address)) {
  impl_->client.set_keep_alive(true);
  impl_->client.set_tcp_nodelay(true);
  impl_->client.set_connection_timeout(kConnectTimeoutSeconds);
  impl_->client.set_read_timeout(kAnswerTimeoutSeconds);
  if (!token.empty()) {
    impl_->client.set_default_headers({{"Authorization", "Bearer " + token}});
  }
}

LoadClient::~LoadClient() = default;

LoadAnswer LoadClient::Get(const std::string& path) { return ToAnswer(impl_->client.Get(path)); }

LoadAnswer LoadClient::Post(const std::string& path, const std::string& body) {
  return ToAnswer(impl_->client.Post(path, body, kJsonType));
}

LoadAnswer LoadClient::Put(const std::string& path, const std::string& body) {
  return ToAnswer(impl_->client.Put(path, body, kJsonType));
}

LoadAnswer LoadClient::PostRequest(const std::string& pool, const std::string& customer,
                                   const std::string& id, const std::string& body) {
  const httplib::Headers headers = {{kRequestIdHeader, id}, {"Pomelotray-Customer", customer}};
  return ToAnswer(
      impl_->client.Post("/v1/requests/" + pool, headers, body, "application/octet-stream"));
}

}  // namespace pomelotray
