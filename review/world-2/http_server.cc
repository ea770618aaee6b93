#include "review/world-2/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <random>
#include <thread>

namespace review {
namespace {

constexpr int kFirstPort = 20000;
constexpr int kLastPort = 31000;
constexpr int kPortTries = 200;

int RandomPort() {
  static std::mutex mutex;
  static std::mt19937 engine(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_int_distribution<int>(kFirstPort, kLastPort)(engine);
}

int ListenOn(const std::string& ip, int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 256) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

void ParseTarget(const std::string& target, Request* request) {
  const size_t mark = target.find('?');
  request->path = target.substr(0, mark);
  std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string part = rest.substr(0, end);
    const size_t equals = part.find('=');
    if (equals != std::string::npos) {
      request->query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
}

// Takes one whole request from `buffer`. Returns no value while it is incomplete.
std::optional<Request> TakeRequest(std::string* buffer) {
  const size_t end = buffer->find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Request request;
  const std::string head = buffer->substr(0, end);
  size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  while (line_end != std::string::npos) {
    const size_t begin = line_end + 2;
    line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      request.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }
  size_t length = 0;
  const auto header = request.headers.find("content-length");
  if (header != request.headers.end()) {
    length = std::strtoul(header->second.c_str(), nullptr, 10);
  }
  if (buffer->size() < end + 4 + length) {
    return std::nullopt;
  }
  const size_t space = first.find(' ');
  request.method = first.substr(0, space);
  ParseTarget(first.substr(space + 1, first.rfind(' ') - space - 1), &request);
  request.body = nlohmann::json::parse(buffer->substr(end + 4, length), nullptr, false);
  buffer->erase(0, end + 4 + length);
  return request;
}

void SendAll(int connection, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<size_t>(count);
  }
}

}  // namespace

int FreePort(const std::string& ip) {
  for (int i = 0; i < kPortTries; ++i) {
    const int port = RandomPort();
    const int listener = ListenOn(ip, port);
    if (listener >= 0) {
      close(listener);
      return port;
    }
  }
  return 0;
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {}

HttpServer::~HttpServer() { Close(); }

std::string HttpServer::address() const { return "127.0.0.1:" + std::to_string(port_); }

bool HttpServer::Listen(int port) {
  for (int i = 0; i < kPortTries && listener_ < 0; ++i) {
    port_ = port == 0 ? RandomPort() : port;
    listener_ = ListenOn("127.0.0.1", port_);
    if (listener_ < 0 && port != 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  if (listener_ < 0) {
    return false;
  }
  state_ = std::make_shared<State>();
  state_->handler = handler_;
  std::thread([state = state_, listener = listener_] { Accept(state, listener); }).detach();
  return true;
}

void HttpServer::Close() {
  if (listener_ < 0) {
    return;
  }
  const std::shared_ptr<State> state = state_;
  {
    const std::lock_guard<std::mutex> lock(state->mutex);
    state->closed = true;
    for (const int connection : state->connections) {
      const linger reset{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(connection, SHUT_RDWR);
    }
  }
  shutdown(listener_, SHUT_RDWR);
  listener_ = -1;
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(state->mutex);
      if (state->threads == 0) {
        return;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void HttpServer::Accept(const std::shared_ptr<State>& state, int listener) {
  {
    const std::lock_guard<std::mutex> lock(state->mutex);
    ++state->threads;
  }
  for (;;) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(state->mutex);
    if (connection < 0 || state->closed) {
      if (connection >= 0) {
        close(connection);
      }
      close(listener);
      --state->threads;
      return;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    state->connections.insert(connection);
    ++state->threads;
    std::thread([state, connection] { Serve(state, connection); }).detach();
  }
}

void HttpServer::Serve(const std::shared_ptr<State>& state, int connection) {
  std::string buffer;
  char bytes[65536];
  bool silent = false;
  for (;;) {
    const ssize_t count = recv(connection, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      break;
    }
    buffer.append(bytes, static_cast<size_t>(count));
    for (std::optional<Request> request = TakeRequest(&buffer); request.has_value() && !silent;
         request = TakeRequest(&buffer)) {
      const std::optional<Reply> reply = state->handler(*request);
      // Nothing further comes on a connection on which an answer was lost.
      silent = !reply.has_value();
      if (silent) {
        break;
      }
      const std::string body = reply->body.dump();
      SendAll(connection, "HTTP/1.1 " + std::to_string(reply->status) +
                              " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }
  const std::lock_guard<std::mutex> lock(state->mutex);
  state->connections.erase(connection);
  close(connection);
  --state->threads;
}

}  // namespace review
