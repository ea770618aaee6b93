#include "adapters/http_channel.h"

#include <httplib.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "adapters/host_port.h"
#include "adapters/wire_json.h"
#include "base/system_clock.h"

namespace pomelotray {
namespace {

constexpr char kTimeHeader[] = "Pomelotray-Time";
// Below the 2 s after which the stand-ins close an idle connection, so that a reused connection is
// not closed under a call, which would make the outcome of the call unknown.
constexpr absl::Duration kMaxIdle = absl::Milliseconds(1500);
constexpr size_t kMaxIdlePerAddress = 8;
// A list of all keys at the largest size; a longer answer is refused instead of exhausting memory.
constexpr uint64_t kMaxAnswerBytes = 256'000'000;

// Whether the other side may have seen a call that failed with `error`.
bool NeverSent(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

ErrorKind KindOfStatus(int status, const HttpCall& call) {
  switch (status) {
    case 400:
    case 413:
      return ErrorKind::kInvalidArgument;
    case 404:
      return ErrorKind::kNotFound;
    case 409:
      return ErrorKind::kConflict;
    case 410:
      return ErrorKind::kDeadlineExceeded;
    case 412:
      return ErrorKind::kFenced;
    case 421:
      return ErrorKind::kNotReady;
    case 429:
      return ErrorKind::kOverloaded;
    case 503:
      return call.no_effect;
    case 504:
      return ErrorKind::kDeadlineExceeded;
    case 507:
      return ErrorKind::kOverLimit;
    default:
      return call.no_answer;
  }
}

std::string Describe(const std::string& address, const HttpCall& call) {
  return absl::StrCat("The call ", call.method, " ", call.path, " to ", address);
}

}  // namespace

struct HttpChannel::Connection {
  explicit Connection(const HostPort& target) : client(target.host, target.port) {}

  httplib::Client client;
  absl::Time last_used;
};

struct HttpChannel::Answer {
  httplib::Error error = httplib::Error::Unknown;
  int status = 0;
  std::string body;
};

HttpChannel::HttpChannel(const HttpOptions& options)
    : options_(options),
      own_clock_(options.clock == nullptr ? std::make_unique<SystemClock>() : nullptr),
      clock_(options.clock == nullptr ? own_clock_.get() : options.clock),
      next_sweep_(absl::InfinitePast()) {
  // cpp-httplib writes without MSG_NOSIGNAL: a peer that closes would end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

HttpChannel::~HttpChannel() = default;

std::unique_ptr<HttpChannel::Connection> HttpChannel::Acquire(const std::string& address,
                                                              const HostPort& target) {
  {
    absl::MutexLock lock(&mutex_);
    DropStale(clock_->Now());
    Idle& idle = idle_[address];
    if (!idle.empty()) {
      std::unique_ptr<Connection> connection = std::move(idle.back());
      idle.pop_back();
      if (clock_->Now() - connection->last_used < kMaxIdle) {
        return connection;
      }
    }
  }
  std::unique_ptr<Connection> connection = std::make_unique<Connection>(target);
  connection->client.set_keep_alive(true);
  connection->client.set_tcp_nodelay(true);
  connection->client.set_follow_location(false);
  connection->client.set_connection_timeout(absl::ToChronoMicroseconds(options_.connect_timeout));
  return connection;
}

void HttpChannel::Release(const std::string& address, std::unique_ptr<Connection> connection) {
  absl::MutexLock lock(&mutex_);
  connection->last_used = clock_->Now();
  Idle& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  }
}

void HttpChannel::DropStale(absl::Time now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kMaxIdle;
  for (auto it = idle_.begin(); it != idle_.end();) {
    Idle& idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const std::unique_ptr<Connection>& connection) {
                                return now - connection->last_used >= kMaxIdle;
                              }),
               idle.end());
    it = idle.empty() ? idle_.erase(it) : std::next(it);
  }
}

size_t HttpChannel::idle_connections() const {
  absl::MutexLock lock(&mutex_);
  size_t count = 0;
  for (const auto& [address, idle] : idle_) {
    count += idle.size();
  }
  return count;
}

HttpChannel::Answer HttpChannel::Exchange(const std::string& address, const HostPort& target,
                                          const HttpCall& call, std::string body) {
  std::unique_ptr<Connection> connection = Acquire(address, target);
  const absl::Time deadline = clock_->Now() + call.timeout;
  connection->client.set_read_timeout(absl::ToChronoMicroseconds(call.timeout));
  connection->client.set_write_timeout(absl::ToChronoMicroseconds(call.timeout));
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  if (call.method != "GET") {
    request.body = std::move(body);
    request.set_header("Content-Type", "application/json");
  }
  if (options_.hybrid_clock != nullptr) {
    request.set_header(kTimeHeader, std::to_string(options_.hybrid_clock->Tick().value()));
  }
  // The read timeout counts from byte to byte; this bounds an answer that trickles in.
  request.progress = [this, deadline](uint64_t, uint64_t total) {
    return total <= kMaxAnswerBytes && clock_->Now() <= deadline;
  };
  httplib::Result result = connection->client.send(request);
  Answer answer;
  answer.error = result.error();
  if (!result) {
    return answer;
  }
  answer.status = result->status;
  answer.body = std::move(result->body);
  int64_t remote_time = 0;
  if (options_.hybrid_clock != nullptr &&
      absl::SimpleAtoi(result->get_header_value(kTimeHeader), &remote_time)) {
    options_.hybrid_clock->Observe(HybridTime(remote_time));
  }
  Release(address, std::move(connection));
  return answer;
}

bool HttpChannel::BelongsTo(const HttpCall& call, const nlohmann::json& answer) {
  for (const auto& [field, value] : call.echo) {
    if (answer.is_object() && answer.contains(field) &&
        wire::ReadString(answer, field.c_str()) != value) {
      ++dropped_answers_;
      return false;
    }
  }
  return true;
}

Result<nlohmann::json> HttpChannel::Call(const std::string& address, const HttpCall& call) {
  // Rendering throws for text that is not UTF-8, so it is caught here.
  std::string body;
  try {
    body = call.body.dump();
  } catch (const nlohmann::json::exception&) {
    return Fail(ErrorKind::kInvalidArgument,
                Describe(address, call) + " has a name that is not UTF-8; use valid text.");
  }
  const std::optional<HostPort> target = HostPort::Parse(address);
  if (!target.has_value()) {
    return Fail(call.no_effect, Describe(address, call) +
                                    " was not sent, because the address has no valid port; "
                                    "correct the address.");
  }
  const Answer answer = Exchange(address, *target, call, std::move(body));
  if (answer.error != httplib::Error::Success) {
    const bool never_sent = NeverSent(answer.error);
    return Fail(
        never_sent ? call.no_effect : call.no_answer,
        absl::StrCat(Describe(address, call), never_sent ? " was not sent" : " got no answer", " (",
                     httplib::to_string(answer.error), "); check that the address is reachable."));
  }
  nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (!BelongsTo(call, json)) {
    return Fail(call.no_answer,
                Describe(address, call) +
                    " got the answer to another call, which was dropped; its outcome is unknown.");
  }
  if (answer.status == 200 && json.is_object()) {
    return json;
  }
  const std::optional<std::string> name = wire::ReadString(json, "error");
  if (answer.status == 200 || !name.has_value()) {
    return Fail(call.no_answer,
                absl::StrCat(Describe(address, call), " got a malformed answer with status ",
                             answer.status, "; check which program listens there."));
  }
  return Fail(KindOfStatus(answer.status, call),
              absl::StrCat(Describe(address, call),
                           " was refused: ", wire::ReadString(json, "message").value_or(*name)),
              wire::ReadMillis(json, "retry_after_ms"));
}

}  // namespace pomelotray
