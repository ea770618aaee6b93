#include "review/world/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr size_t kReadBytes = 65'536;
constexpr int kBacklog = 256;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ListenOn(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
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
      plain.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      plain.push_back(text[i]);
    }
  }
  return plain;
}

// A message as read from a connection: its first line, headers and body.
struct RawMessage {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Reads one message. `rest` holds bytes that were read before. Returns false at the end of the
// connection or after `timeout_ms` without data (-1: no limit).
bool ReadMessage(int fd, int timeout_ms, std::string* rest, RawMessage* message) {
  std::array<char, kReadBytes> bytes;
  size_t body_begin = std::string::npos;
  size_t body_size = 0;
  for (;;) {
    if (body_begin == std::string::npos) {
      const size_t end = rest->find("\r\n\r\n");
      if (end != std::string::npos) {
        body_begin = end + 4;
        std::istringstream lines(rest->substr(0, end));
        std::getline(lines, message->first_line);
        message->headers.clear();
        for (std::string line; std::getline(lines, line);) {
          const size_t colon = line.find(':');
          if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            message->headers[Lower(line.substr(0, colon))] = value;
          }
        }
        const auto length = message->headers.find("content-length");
        body_size = length == message->headers.end()
                        ? 0
                        : std::strtoul(length->second.c_str(), nullptr, 10);
      }
    }
    if (body_begin != std::string::npos && rest->size() >= body_begin + body_size) {
      message->body = rest->substr(body_begin, body_size);
      rest->erase(0, body_begin + body_size);
      return true;
    }
    pollfd entry{fd, POLLIN, 0};
    if (poll(&entry, 1, timeout_ms) <= 0) {
      return false;
    }
    const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    rest->append(bytes.data(), static_cast<size_t>(count));
  }
}

HttpRequest ParseRequest(const RawMessage& message) {
  HttpRequest request;
  std::istringstream line(message.first_line);
  std::string target;
  line >> request.method >> target;
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream fields(target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');) {
      const size_t equals = field.find('=');
      request.query[field.substr(0, equals)] =
          equals == std::string::npos ? "" : Unescape(field.substr(equals + 1));
    }
  }
  request.headers = message.headers;
  request.body = nlohmann::json::parse(message.body, nullptr, /*allow_exceptions=*/false);
  return request;
}

}  // namespace

HttpReply DroppedReply() {
  HttpReply reply;
  reply.dropped = true;
  return reply;
}

struct HttpServer::Shared {
  Handler handler;
  std::mutex mutex;
  bool stopped = false;
  std::set<int> fds;

  void Serve(int fd) {
    std::string rest;
    RawMessage message;
    while (ReadMessage(fd, -1, &rest, &message)) {
      const HttpReply reply = handler(ParseRequest(message));
      if (reply.dropped) {
        break;
      }
      const std::string body = reply.body.dump();
      std::ostringstream text;
      text << "HTTP/1.1 " << reply.status << " Reply\r\nContent-Type: application/json\r\n"
           << "Content-Length: " << body.size() << "\r\n\r\n"
           << body;
      if (!SendAll(fd, text.str())) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mutex);
    fds.erase(fd);
    close(fd);
  }
};

HttpServer::HttpServer(int port, Handler handler) : shared_(std::make_shared<Shared>()) {
  shared_->handler = std::move(handler);
  listen_fd_ = ListenOn(port);
  if (listen_fd_ < 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  port_ = PortOf(listen_fd_);
  accept_thread_ = std::thread([shared = shared_, listen_fd = listen_fd_] {
    for (;;) {
      const int fd = accept4(listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard<std::mutex> lock(shared->mutex);
      if (shared->stopped) {
        close(fd);
        return;
      }
      shared->fds.insert(fd);
      std::thread([shared, fd] { shared->Serve(fd); }).detach();
    }
  });
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  if (listen_fd_ < 0) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->stopped = true;
    shutdown(listen_fd_, SHUT_RDWR);
    for (const int fd : shared_->fds) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RDWR);
    }
  }
  accept_thread_.join();
  close(listen_fd_);
  listen_fd_ = -1;
}

HttpResult CallHttp(int port, const std::string& method, const std::string& path,
                    const std::map<std::string, std::string>& headers, const std::string& body,
                    int timeout_ms) {
  HttpResult result;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    std::ostringstream text;
    text << method << " " << path << " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text << name << ": " << value << "\r\n";
    }
    text << "Content-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
         << body;
    std::string rest;
    RawMessage message;
    if (SendAll(fd, text.str()) && ReadMessage(fd, timeout_ms, &rest, &message)) {
      std::istringstream line(message.first_line);
      std::string version;
      line >> version >> result.status;
      result.body = message.body;
    }
  }
  close(fd);
  return result;
}

int FreePortPair() {
  // Below the ports that the system gives to outgoing connections, which could take a free port
  // before an instance listens on it. Runs at the same time begin at different ports.
  constexpr int kFirst = 12'000;
  constexpr int kCount = 20'000;
  static int next = static_cast<int>(getpid()) * 64 % kCount;
  for (;;) {
    const int port = kFirst + next;
    next = (next + 2) % kCount;
    const int first = ListenOn(port);
    const int second = ListenOn(port + 1);
    for (const int fd : {first, second}) {
      if (fd >= 0) {
        close(fd);
      }
    }
    if (first >= 0 && second >= 0) {
      return port;
    }
  }
}

}  // namespace review
