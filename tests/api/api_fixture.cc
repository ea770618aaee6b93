#include "tests/api/api_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace pomelotray {

std::string HttpResult::Kind() const {
  const nlohmann::json json = Json();
  return json.is_object() && json.contains("error") ? json["error"]["kind"].get<std::string>() : "";
}

ApiFixture::ApiFixture(const std::string& operator_token, const HttpLimits& limits)
    : server(HttpApiServer::Builder({&service, &events, &clock, &registry})
                 .OperatorToken(operator_token)
                 .Limits(limits)
                 .Build()) {
  const Outcome<void> started = Capture([this] { return server->Start({"127.0.0.1", 0}); });
  if (!started.ok()) {
    throw std::runtime_error(started.error().message);
  }
}

int ApiFixture::Connect() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(server->port()));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string ReadAll(int fd, absl::Duration timeout) {
  const SystemClock clock;
  const absl::Time end = clock.Now() + timeout;
  std::string bytes;
  std::array<char, 65536> buffer;
  for (;;) {
    const int64_t left_ms = absl::ToInt64Milliseconds(end - clock.Now());
    pollfd entry{fd, POLLIN, 0};
    if (left_ms <= 0 || poll(&entry, 1, static_cast<int>(left_ms)) <= 0) {
      break;
    }
    const ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
      break;
    }
    bytes.append(buffer.data(), static_cast<size_t>(n));
  }
  close(fd);
  return bytes;
}

std::string ApiFixture::Exchange(const std::string& bytes, absl::Duration timeout,
                                 bool half_close) const {
  const int fd = Connect();
  if (fd < 0) {
    return "";
  }
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    sent += static_cast<size_t>(n);
  }
  if (half_close) {
    shutdown(fd, SHUT_WR);
  }
  return ReadAll(fd, timeout);
}

HttpResult ParseHttpResponse(const std::string& bytes) {
  HttpResult result;
  const size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos || bytes.compare(0, 9, "HTTP/1.1 ") != 0) {
    return result;
  }
  const std::vector<std::string> lines = absl::StrSplit(bytes.substr(0, end), "\r\n");
  for (size_t i = 1; i < lines.size(); ++i) {
    const size_t colon = lines[i].find(": ");
    result.headers[lines[i].substr(0, colon)] = lines[i].substr(colon + 2);
  }
  result.body = bytes.substr(end + 4);
  result.status = std::stoi(lines[0].substr(9, 3));
  return result;
}

HttpResult ApiFixture::Call(const std::string& method, const std::string& target,
                            const std::string& body, const std::string& token,
                            const std::string& extra_headers) const {
  std::string request = absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: test\r\n",
                                     "Connection: close\r\n", extra_headers);
  if (!token.empty()) {
    absl::StrAppend(&request, "Authorization: Bearer ", token, "\r\n");
  }
  absl::StrAppend(&request, "Content-Length: ", body.size(), "\r\n\r\n", body);
  return ParseHttpResponse(Exchange(request));
}

std::string ApiFixture::JobBody(const std::string& customer, const std::string& key) const {
  return absl::StrCat(R"({"customer": ")", customer, R"(", "key": ")", key,
                      R"(", "kind": "batch", "pool": "rendering", )",
                      R"("demand": {"cpu_millicores": 1000}})");
}

}  // namespace pomelotray
