#include "review/world-3/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace world {
namespace {

constexpr int kFirstPort = 22'000;
constexpr int kLastPort = 31'000;
constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 16'384;

int next_port = 0;
std::mutex next_port_mutex;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int TryListen(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address("127.0.0.1", port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
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
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain.push_back(
          static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, /*base=*/16)));
      i += 2;
    } else {
      plain.push_back(text[i]);
    }
  }
  return plain;
}

// Reads from `connection` until `text` holds `size` bytes. Returns false at the end of the stream.
bool FillTo(int connection, size_t size, std::string* text) {
  std::array<char, kReadBytes> buffer{};
  while (text->size() < size) {
    const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    text->append(buffer.data(), static_cast<size_t>(count));
  }
  return true;
}

// Reads the head of a message and removes it from `pending`.
bool ReadHead(int connection, std::string* pending, std::string* head) {
  size_t end = pending->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!FillTo(connection, pending->size() + 1, pending)) {
      return false;
    }
    end = pending->find("\r\n\r\n");
  }
  *head = pending->substr(0, end + 2);
  pending->erase(0, end + 4);
  return true;
}

std::map<std::string, std::string> ParseHeaders(std::istringstream* lines) {
  std::map<std::string, std::string> headers;
  std::string line;
  while (std::getline(*lines, line)) {
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r ") + 1);
      headers[Lower(line.substr(0, colon))] = value;
    }
  }
  return headers;
}

size_t BodyBytes(const std::map<std::string, std::string>& headers) {
  const auto length = headers.find("content-length");
  return length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, /*base=*/10);
}

void ParseTarget(const std::string& target, HttpCall* call) {
  const size_t mark = target.find('?');
  call->path = target.substr(0, mark);
  if (mark == std::string::npos) {
    return;
  }
  std::istringstream fields(target.substr(mark + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    const size_t equals = field.find('=');
    if (equals != std::string::npos) {
      call->query[field.substr(0, equals)] = Unescape(field.substr(equals + 1));
    }
  }
}

bool ReadCall(int connection, std::string* pending, HttpCall* call) {
  std::string head;
  if (!ReadHead(connection, pending, &head)) {
    return false;
  }
  std::istringstream lines(head);
  std::string target;
  std::string line;
  lines >> call->method >> target;
  std::getline(lines, line);
  ParseTarget(target, call);
  call->headers = ParseHeaders(&lines);
  const size_t size = BodyBytes(call->headers);
  if (!FillTo(connection, size, pending)) {
    return false;
  }
  call->body = pending->substr(0, size);
  pending->erase(0, size);
  return true;
}

bool SendAll(int connection, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

HttpServer::HttpServer(int port, Handler handler) : handler_(std::move(handler)), port_(port) {
  if (port_ == 0) {
    const std::lock_guard<std::mutex> lock(next_port_mutex);
    if (next_port == 0) {
      next_port = kFirstPort + getpid() % (kLastPort - kFirstPort);
    }
    for (listener_ = -1; listener_ < 0;) {
      next_port = next_port >= kLastPort ? kFirstPort : next_port + 1;
      port_ = next_port;
      listener_ = TryListen(port_);
    }
    accept_thread_ = std::thread([this, listener = listener_] { AcceptLoop(listener); });
  } else {
    Open();
  }
}

HttpServer::~HttpServer() {
  Close();
  for (bool open = true; open;) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    const std::lock_guard<std::mutex> lock(mutex_);
    open = !connections_.empty();
  }
}

bool HttpServer::IsOpen() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return listener_ >= 0;
}

void HttpServer::Open() {
  int listener = -1;
  while (listener < 0) {
    listener = TryListen(port_);
    if (listener < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = listener;
  accept_thread_ = std::thread([this, listener] { AcceptLoop(listener); });
}

void HttpServer::Close() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
    }
    for (const int connection : connections_) {
      shutdown(connection, SHUT_RDWR);
    }
  }
  if (accept_thread_.joinable()) {
    accept_thread_.join();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ >= 0) {
    close(listener_);
    listener_ = -1;
  }
  for (const int connection : connections_) {
    shutdown(connection, SHUT_RDWR);
  }
}

void HttpServer::AcceptLoop(int listener) {
  for (;;) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(connection);
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void HttpServer::Serve(int connection) {
  std::string pending;
  HttpCall call;
  while (ReadCall(connection, &pending, &call)) {
    const HttpAnswer answer = handler_(call);
    std::ostringstream text;
    text << "HTTP/1.1 " << answer.status << " X\r\nContent-Type: application/json\r\n"
         << "Content-Length: " << answer.body.size() << "\r\n\r\n"
         << answer.body;
    if (answer.drop || !SendAll(connection, text.str())) {
      break;
    }
    call = HttpCall();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
  close(connection);
}

HttpAnswer SendHttp(const std::string& address, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& headers, const std::string& body,
                    int timeout_ms) {
  HttpAnswer answer;
  answer.status = 0;
  answer.body.clear();
  const size_t colon = address.find(':');
  const sockaddr_in target =
      Address(address.substr(0, colon),
              static_cast<int>(std::strtol(address.c_str() + colon + 1, nullptr, /*base=*/10)));
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  std::ostringstream text;
  text << method << " " << path << " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text << name << ": " << value << "\r\n";
  }
  text << "Content-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n" << body;
  std::string pending;
  std::string head;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0 &&
      SendAll(connection, text.str()) && ReadHead(connection, &pending, &head)) {
    std::istringstream lines(head);
    std::string version;
    std::string rest;
    int status = 0;
    lines >> version >> status;
    std::getline(lines, rest);
    const size_t size = BodyBytes(ParseHeaders(&lines));
    if (FillTo(connection, size, &pending)) {
      answer.status = status;
      answer.body = pending.substr(0, size);
    }
  }
  close(connection);
  return answer;
}

}  // namespace world
