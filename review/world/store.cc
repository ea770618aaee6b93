#include "review/world/store.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include "review/world/record.h"

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kPageItems = 500;
constexpr size_t kMaxEntries = 32;
constexpr int kLeaseTickMs = 20;
constexpr int64_t kMinTtlMs = 1000;
constexpr int64_t kMaxTtlMs = 600'000;
// A silent store keeps the connection open for longer than any caller waits.
constexpr int kSilenceMs = 5000;
constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

HttpReply StatusReply(int status, json body = json::object()) {
  HttpReply reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

std::string Parameter(const HttpRequest& request, const std::string& name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

int64_t Number(const std::string& text) { return text.empty() ? 0 : std::stoll(text); }

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

std::string EncodeBase64(const std::string& text) {
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (i + k < text.size() ? static_cast<uint8_t>(text[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      encoded.push_back(i + k <= text.size() ? kDigits[bits >> (18 - 6 * k) & 63] : '=');
    }
  }
  return encoded;
}

std::string DecodeBase64(const std::string& text) {
  std::string decoded;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* const digit = c == '=' ? nullptr : std::strchr(kDigits, c);
    if (digit == nullptr) {
      break;
    }
    bits = bits << 6 | static_cast<uint32_t>(digit - kDigits);
    count += 6;
    if (count >= 8) {
      count -= 8;
      decoded.push_back(static_cast<char>(bits >> count & 255));
    }
  }
  return decoded;
}

Store::Store() {
  std::thread([this] {
    for (;;) {
      SleepMs(kLeaseTickMs);
      const std::lock_guard<std::mutex> lock(mutex_);
      ExpireLeases();
    }
  }).detach();
}

int Store::AddAddress(int caller) {
  servers_.push_back(std::make_unique<HttpServer>(
      0, [this, caller](const HttpRequest& request) { return Answer(caller, request); }));
  return servers_.back()->port();
}

void Store::SetFault(Fault fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = std::move(fault);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, EncodeBase64(value), 0, ++revision_);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key, ++revision_);
}

void Store::SetAnswerDelay(int64_t ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answer_delay_ms_ = ms;
}

std::optional<std::string> Store::Get(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? std::nullopt
                            : std::optional<std::string>(DecodeBase64(it->second.value));
}

HttpReply Store::Answer(int caller, const HttpRequest& request) {
  Fault fault;
  int64_t delay = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    fault = fault_;
    delay = answer_delay_ms_;
  }
  const StoreFault kind = fault ? fault(caller, request) : StoreFault::kNone;
  if (kind == StoreFault::kBusy) {
    return StatusReply(503);
  }
  if (kind == StoreFault::kSilent) {
    SleepMs(kSilenceMs);
    return DroppedReply();
  }
  HttpReply reply = Dispatch(request);
  if (kind == StoreFault::kAnswerLost) {
    SleepMs(kSilenceMs);
    return DroppedReply();
  }
  SleepMs(delay);
  return reply;
}

HttpReply Store::Dispatch(const HttpRequest& request) {
  if (request.path == "/pomelotray/kv-key") {
    return Key(request);
  }
  if (request.path == "/pomelotray/kv-range") {
    return Range(request);
  }
  if (request.path == "/pomelotray/kv-watch") {
    return Watch(request);
  }
  if (request.path == "/pomelotray/kv-txn") {
    return Transaction(request);
  }
  return LeaseCall(request);
}

json Store::Row(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

HttpReply Store::Key(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string key = Parameter(request, "key");
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return StatusReply(404, {{"as-of", revision_}});
  }
  json body = Row(key, it->second);
  body["as-of"] = revision_;
  return StatusReply(200, std::move(body));
}

HttpReply Store::Range(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string prefix = Parameter(request, "prefix");
  const std::string after = Parameter(request, "after");
  json items = json::array();
  bool more = false;
  for (auto it = items_.lower_bound(prefix); it != items_.end() && StartsWith(it->first, prefix);
       ++it) {
    if (!after.empty() && it->first <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(Row(it->first, it->second));
  }
  return StatusReply(200, {{"items", std::move(items)}, {"has-more", more}, {"as-of", revision_}});
}

HttpReply Store::Watch(const HttpRequest& request) {
  const std::string prefix = Parameter(request, "prefix");
  const int64_t after = Number(Parameter(request, "after"));
  const auto end =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::min<int64_t>(Number(Parameter(request, "wait-ms")), 30'000));
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    json rows = json::array();
    const auto begin =
        std::upper_bound(events_.begin(), events_.end(), after,
                         [](int64_t value, const Event& event) { return value < event.revision; });
    for (auto it = begin; it != events_.end(); ++it) {
      if (!StartsWith(it->key, prefix)) {
        continue;
      }
      if (it->item.has_value()) {
        rows.push_back(Row(it->key, *it->item));
      } else {
        rows.push_back({{"key", it->key}, {"revision", it->revision}, {"deleted", true}});
      }
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= end) {
      return StatusReply(200, {{"events", std::move(rows)}, {"as-of", revision_}});
    }
    changed_.wait_until(lock, end);
  }
}

HttpReply Store::Transaction(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const json& conditions = request.body.at("precondition");
  const json& writes = request.body.at("writes");
  const json& removals = request.body.at("remove");
  if (conditions.size() + writes.size() + removals.size() > kMaxEntries) {
    return StatusReply(400);
  }
  bool met = true;
  json present = json::array();
  for (const json& condition : conditions) {
    const std::string key = condition.at("key");
    const auto it = items_.find(key);
    const int64_t revision = it == items_.end() ? 0 : it->second.revision;
    met = met && revision == condition.at("revision").get<int64_t>();
    if (it != items_.end()) {
      present.push_back(Row(key, it->second));
    }
  }
  if (!met) {
    return StatusReply(412, {{"items", std::move(present)}});
  }
  for (const json& write : writes) {
    const int64_t lease = write.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return StatusReply(404);
    }
  }
  const int64_t revision = ++revision_;
  for (const json& write : writes) {
    Write(write.at("key"), write.at("value"), write.value("lease", int64_t{0}), revision);
  }
  for (const json& key : removals) {
    Erase(key, revision);
  }
  return StatusReply(200, {{"revision", revision}});
}

HttpReply Store::LeaseCall(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.path == "/pomelotray/kv-lease") {
    Lease lease;
    lease.ttl_ms = std::clamp(request.body.value("ttl-ms", int64_t{0}), kMinTtlMs, kMaxTtlMs);
    lease.ends_at = NowMs() + lease.ttl_ms;
    leases_[++last_lease_] = lease;
    return StatusReply(200, {{"lease", last_lease_}, {"ttl-ms", lease.ttl_ms}});
  }
  const size_t slash = request.path.rfind('/');
  const int64_t id = Number(request.path.substr(slash + 1));
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return StatusReply(404);
  }
  if (StartsWith(request.path, "/pomelotray/kv-keep/")) {
    it->second.ends_at = NowMs() + it->second.ttl_ms;
    return StatusReply(200, {{"ttl-ms", it->second.ttl_ms}});
  }
  EndLease(id);
  return StatusReply(200);
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease,
                  int64_t revision) {
  Item& item = items_[key];
  item.created = item.revision == 0 ? revision : item.created;
  item.value = value;
  item.revision = revision;
  item.lease = lease;
  events_.push_back(Event{key, revision, item});
  changed_.notify_all();
}

void Store::Erase(const std::string& key, int64_t revision) {
  if (items_.erase(key) > 0) {
    events_.push_back(Event{key, revision, std::nullopt});
    changed_.notify_all();
  }
}

void Store::EndLease(int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) {
      keys.push_back(key);
    }
  }
  if (!keys.empty()) {
    ++revision_;
  }
  for (const std::string& key : keys) {
    Erase(key, revision_);
  }
}

void Store::ExpireLeases() {
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= NowMs()) {
      ended.push_back(id);
    }
  }
  for (const int64_t id : ended) {
    EndLease(id);
  }
}

}  // namespace review
