#include "review/world-2/store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kPageItems = 500;
constexpr int kOrdinaryAnswerMs = 4;
constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      const bool present = i + j < text.size();
      bits = bits << 8 | (present ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    const size_t digits = std::min<size_t>(text.size() - i, 3) + 1;
    for (size_t j = 0; j < 4; ++j) {
      result.push_back(j < digits ? kDigits[bits >> (18 - 6 * j) & 63] : '=');
    }
  }
  return result;
}

std::string Decode(const std::string& text) {
  static const std::string digits = kDigits;
  std::string result;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const size_t digit = digits.find(c);
    if (digit == std::string::npos) {
      break;
    }
    bits = bits << 6 | static_cast<uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      result.push_back(static_cast<char>(bits >> count & 255));
    }
  }
  return result;
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string QueryText(const Request& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

int64_t QueryNumber(const Request& request, const char* name) {
  return std::strtoll(QueryText(request, name).c_str(), nullptr, 10);
}

int64_t LastNumber(const std::string& path) {
  return std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
}

}  // namespace

Store::Store(Record* record)
    : record_(record), server_([this](const Request& request) { return Handle(request); }) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  server_.Close();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, value, 0, ++revision_);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.count(key) > 0) {
    Erase(key, ++revision_);
    changed_.notify_all();
  }
}

std::optional<std::string> Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  const auto it = items_.find(key);
  return it == items_.end() ? std::nullopt : std::optional<std::string>(it->second.value);
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (HasPrefix(key, prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<Reply> Store::Handle(const Request& request) {
  Reply reply = Dispatch(request);
  // The delay is read after the call, which may have waited for an event meanwhile.
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max(kOrdinaryAnswerMs, delay_ms_.load())));
  return reply;
}

Reply Store::Dispatch(const Request& request) {
  if (request.path == "/pomelotray/kv-key") {
    return GetKey(request);
  }
  if (request.path == "/pomelotray/kv-range") {
    return Range(request);
  }
  if (request.path == "/pomelotray/kv-watch") {
    return Watch(request);
  }
  if (request.path == "/pomelotray/kv-txn") {
    return Commit(request.body);
  }
  if (request.path == "/pomelotray/kv-lease") {
    return Grant(request.body);
  }
  if (HasPrefix(request.path, "/pomelotray/kv-keep/")) {
    return Keep(LastNumber(request.path));
  }
  if (HasPrefix(request.path, "/pomelotray/kv-lease-end/")) {
    return End(LastNumber(request.path));
  }
  return Reply{404, json::object()};
}

json Store::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", Encode(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

Reply Store::GetKey(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  const std::string key = QueryText(request, "key");
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return Reply{404, {{"as-of", revision_}}};
  }
  json body = ItemJson(key, it->second);
  body["as-of"] = revision_;
  return Reply{200, std::move(body)};
}

Reply Store::Range(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  const std::string prefix = QueryText(request, "prefix");
  const std::string after = QueryText(request, "after");
  json items = json::array();
  bool has_more = false;
  for (auto it = items_.upper_bound(std::max(prefix, after)); it != items_.end(); ++it) {
    if (!HasPrefix(it->first, prefix)) {
      break;
    }
    if (items.size() == kPageItems) {
      has_more = true;
      break;
    }
    items.push_back(ItemJson(it->first, it->second));
  }
  return Reply{200, {{"items", std::move(items)}, {"has-more", has_more}, {"as-of", revision_}}};
}

Reply Store::Watch(const Request& request) {
  const std::string prefix = QueryText(request, "prefix");
  const int64_t after = QueryNumber(request, "after");
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(QueryNumber(request, "wait-ms"));
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    EndDueLeases();
    json events = json::array();
    for (const Event& event : events_) {
      if (event.revision <= after || !HasPrefix(event.key, prefix)) {
        continue;
      }
      events.push_back(
          event.deleted ? json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}}
                        : ItemJson(event.key, event.item));
    }
    if (!events.empty() || stopping_ || std::chrono::steady_clock::now() >= end) {
      return Reply{200, {{"events", std::move(events)}, {"as-of", revision_}}};
    }
    // Wakes up often enough to end leases in time.
    changed_.wait_until(
        lock, std::min(end, std::chrono::steady_clock::now() + std::chrono::milliseconds(20)));
  }
}

Reply Store::Commit(const json& transaction) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  json present = json::array();
  bool holds = true;
  for (const json& row : transaction.at("precondition")) {
    const std::string key = row.at("key").get<std::string>();
    const auto it = items_.find(key);
    const int64_t revision = it == items_.end() ? 0 : it->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    if (it != items_.end()) {
      present.push_back(ItemJson(key, it->second));
    }
  }
  if (!holds) {
    return Reply{412, {{"items", std::move(present)}}};
  }
  for (const json& row : transaction.at("writes")) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return Reply{404, json::object()};
    }
  }
  const int64_t revision = ++revision_;
  for (const json& row : transaction.at("writes")) {
    Write(row.at("key").get<std::string>(), Decode(row.at("value").get<std::string>()),
          row.value("lease", int64_t{0}), revision);
  }
  for (const json& key : transaction.at("remove")) {
    if (items_.count(key.get<std::string>()) > 0) {
      Erase(key.get<std::string>(), revision);
    }
  }
  changed_.notify_all();
  return Reply{200, {{"revision", revision}}};
}

Reply Store::Grant(const json& body) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t ttl = body.at("ttl-ms").get<int64_t>();
  const int64_t lease = next_lease_++;
  leases_[lease] = Lease{ttl, record_->NowMs() + ttl};
  return Reply{200, {{"lease", lease}, {"ttl-ms", ttl}}};
}

Reply Store::Keep(int64_t lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return Reply{404, json::object()};
  }
  it->second.ends_at = record_->NowMs() + it->second.ttl_ms;
  return Reply{200, {{"ttl-ms", it->second.ttl_ms}}};
}

Reply Store::End(int64_t lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  if (leases_.count(lease) == 0) {
    return Reply{404, json::object()};
  }
  EndLease(lease);
  return Reply{200, json::object()};
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease,
                  int64_t revision) {
  Item& item = items_[key];
  item.value = value;
  item.lease = lease;
  item.revision = revision;
  item.created = item.created == 0 ? revision : item.created;
  events_.push_back(Event{key, revision, false, item});
  if (HasPrefix(key, "pomelotray/control/")) {
    record_->Line("store: wrote " + key + " lease " + std::to_string(lease) + ": " + value);
  }
}

void Store::Erase(const std::string& key, int64_t revision) {
  items_.erase(key);
  events_.push_back(Event{key, revision, true, Item()});
  if (HasPrefix(key, "pomelotray/control/")) {
    record_->Line("store: removed " + key);
  }
}

void Store::EndLease(int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key, ++revision_);
  }
  changed_.notify_all();
}

void Store::EndDueLeases() {
  const int64_t now = record_->NowMs();
  std::vector<int64_t> due;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= now) {
      due.push_back(id);
    }
  }
  for (const int64_t lease : due) {
    EndLease(lease);
  }
}

}  // namespace review
