#include "standins/traffic_meter.h"

#include <httplib.h>

#include <string>

namespace pomelotray {
namespace {

// Length of "HTTP/1.1" plus the separators and the line end of a request line.
constexpr int64_t kRequestLineBytes = 12;
// Length of "HTTP/1.1 200 OK" plus the line end.
constexpr int64_t kStatusLineBytes = 17;
// Length of ": " plus the line end of a header.
constexpr int64_t kHeaderSeparatorBytes = 4;
constexpr int64_t kHeaderEndBytes = 2;

// Returns whether cpp-httplib adds this header to received requests; such headers are not part of
// the traffic.
bool IsAddedByServer(const std::string& header) {
  return header.rfind("REMOTE_", 0) == 0 || header.rfind("LOCAL_", 0) == 0;
}

int64_t HeaderBytes(const httplib::Headers& headers) {
  int64_t bytes = kHeaderEndBytes;
  for (const auto& [name, value] : headers) {
    if (!IsAddedByServer(name)) {
      bytes += static_cast<int64_t>(name.size() + value.size()) + kHeaderSeparatorBytes;
    }
  }
  return bytes;
}

}  // namespace

void TrafficMeter::Add(const httplib::Request& request, const httplib::Response& response) {
  if (request.method != "POST" || request.path == "/fault" || request.path == "/leave") {
    return;
  }
  ++calls_;
  bytes_received_ +=
      kRequestLineBytes +
      static_cast<int64_t>(request.method.size() + request.path.size() + request.body.size()) +
      HeaderBytes(request.headers);
  bytes_sent_ +=
      kStatusLineBytes + static_cast<int64_t>(response.body.size()) + HeaderBytes(response.headers);
}

nlohmann::json TrafficMeter::ToJson() const {
  return {{"calls", calls_.load()},
          {"bytes_received", bytes_received_.load()},
          {"bytes_sent", bytes_sent_.load()}};
}

}  // namespace pomelotray
