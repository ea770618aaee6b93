#include "tests/soak/store_standin.h"

#include <httplib.h>

#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// Each instance keeps up to four watch calls open, each of which occupies a thread.
// A late write is carried out this long after it was sent, and up to kLatenessRange - 1 s later.
constexpr absl::Duration kMinLateness = absl::Seconds(1);
constexpr int64_t kLatenessRange = 6;
constexpr size_t kServerThreads = 256;
constexpr int kPageItems = 500;

int64_t Number(const httplib::Request& request, const char* name) {
  int64_t value = 0;
  (void)absl::SimpleAtoi(request.get_param_value(name), &value);
  return value;
}

void Answer(httplib::Response* response, int status, const json& body) {
  response->status = status;
  response->set_content(body.dump(), "application/json");
}

}  // namespace

StoreStandin::StoreStandin() : server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  server_->set_keep_alive_max_count(1'000'000);
  server_->set_tcp_nodelay(true);
  RegisterHandlers();
  port_ = server_->bind_to_any_port("127.0.0.1");
  server_thread_ = std::thread([this] { server_->listen_after_bind(); });
}

StoreStandin::~StoreStandin() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  server_->stop();
  server_thread_.join();
}

std::string StoreStandin::address() const { return absl::StrCat("127.0.0.1:", port_); }

bool StoreStandin::DelayAndCheckDown() const {
  absl::Duration delay;
  {
    absl::MutexLock lock(&mutex_);
    delay = delay_;
  }
  absl::SleepFor(delay);
  absl::MutexLock lock(&mutex_);
  return down_;
}

bool StoreStandin::ShouldLoseAnswer() {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  return lost_answer_ratio_ > 0 && calls_ % static_cast<int64_t>(1 / lost_answer_ratio_) == 0;
}

void StoreStandin::RegisterHandlers() {
  server_->set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
    if (!DelayAndCheckDown()) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    Answer(&response, 503, json::object());
    return httplib::Server::HandlerResponse::Handled;
  });
  server_->Get("/pomelotray/kv-key",
               [this](const httplib::Request& request, httplib::Response& response) {
                 absl::MutexLock lock(&mutex_);
                 Update();
                 const auto it = items_.find(request.get_param_value("key"));
                 it == items_.end() ? Answer(&response, 404, json::object())
                                    : Answer(&response, 200, ItemJson(it->first, it->second));
               });
  server_->Get("/pomelotray/kv-range",
               [this](const httplib::Request& request, httplib::Response& response) {
                 Answer(&response, 200,
                        Range(request.get_param_value("prefix"), request.get_param_value("after")));
               });
  server_->Get("/pomelotray/kv-watch",
               [this](const httplib::Request& request, httplib::Response& response) {
                 Answer(&response, 200,
                        Watch(request.get_param_value("prefix"), Number(request, "after"),
                              absl::Milliseconds(Number(request, "wait-ms"))));
               });
  server_->Post("/pomelotray/kv-txn", [this](const httplib::Request& request,
                                             httplib::Response& response) {
    json answer = json::object();
    const int status = Commit(json::parse(request.body), &answer);
    // Status 500 after the commit simulates a lost answer.
    ShouldLoseAnswer() ? Answer(&response, 500, json::object()) : Answer(&response, status, answer);
  });
  server_->Post(
      "/pomelotray/kv-lease", [this](const httplib::Request& request, httplib::Response& response) {
        const absl::Duration ttl =
            absl::Milliseconds(json::parse(request.body).at("ttl-ms").get<int64_t>());
        absl::MutexLock lock(&mutex_);
        const int64_t id = next_lease_++;
        leases_[id] = Lease{ttl, absl::Now() + ttl};
        Answer(&response, 200, {{"lease", id}, {"ttl-ms", absl::ToInt64Milliseconds(ttl)}});
      });
  server_->Post(R"(/pomelotray/kv-keep/(\d+))", [this](const httplib::Request& request,
                                                       httplib::Response& response) {
    absl::MutexLock lock(&mutex_);
    RemoveExpiredLeases();
    const auto lease = leases_.find(std::stoll(request.matches[1]));
    if (lease == leases_.end()) {
      Answer(&response, 404, json::object());
      return;
    }
    lease->second.expires = absl::Now() + lease->second.ttl;
    Answer(&response, 200, {{"ttl-ms", absl::ToInt64Milliseconds(lease->second.ttl)}});
  });
  server_->Delete(R"(/pomelotray/kv-lease-end/(\d+))",
                  [this](const httplib::Request& request, httplib::Response& response) {
                    absl::MutexLock lock(&mutex_);
                    EndLease(std::stoll(request.matches[1]));
                    Answer(&response, 200, json::object());
                  });
}

json StoreStandin::ItemJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void StoreStandin::RemoveExpiredLeases() {
  std::vector<int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= absl::Now()) {
      over.push_back(id);
    }
  }
  for (const int64_t id : over) {
    EndLease(id);
  }
}

void StoreStandin::EndLease(int64_t lease) {
  if (leases_.erase(lease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key, revision_);
  }
  changed_.SignalAll();
}

void StoreStandin::Erase(const std::string& key, int64_t revision) {
  if (items_.erase(key) > 0) {
    deleted_[key] = revision;
  }
}

json StoreStandin::Range(const std::string& prefix, const std::string& after) {
  absl::MutexLock lock(&mutex_);
  Update();
  json items = json::array();
  auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
  for (; it != items_.end() && absl::StartsWith(it->first, prefix) && items.size() < kPageItems;
       ++it) {
    items.push_back(ItemJson(it->first, it->second));
  }
  const bool more = it != items_.end() && absl::StartsWith(it->first, prefix);
  return {{"items", std::move(items)}, {"has-more", more}, {"as-of", revision_}};
}

json StoreStandin::Watch(const std::string& prefix, int64_t after, absl::Duration wait) {
  const absl::Time end = absl::Now() + wait;
  absl::MutexLock lock(&mutex_);
  for (;;) {
    Update();
    json events = json::array();
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && absl::StartsWith(it->first, prefix); ++it) {
      if (it->second.revision > after) {
        events.push_back(ItemJson(it->first, it->second));
      }
    }
    for (const auto& [key, revision] : deleted_) {
      if (revision > after && absl::StartsWith(key, prefix) && items_.count(key) == 0) {
        events.push_back({{"key", key}, {"revision", revision}, {"deleted", true}});
      }
    }
    if (!events.empty() || absl::Now() >= end || stopping_ || down_) {
      return {{"events", std::move(events)}, {"as-of", revision_}};
    }
    changed_.WaitWithTimeout(&mutex_, absl::Milliseconds(100));
  }
}

int StoreStandin::Commit(const json& transaction, json* answer) {
  absl::MutexLock lock(&mutex_);
  Update();
  ++commits_;
  if (late_write_ratio_ > 0 && commits_ % static_cast<int64_t>(1 / late_write_ratio_) == 0) {
    const absl::Duration delay = kMinLateness + absl::Seconds(commits_ % kLatenessRange);
    late_writes_.emplace(absl::Now() + delay, transaction);
    return 500;
  }
  return CommitNow(transaction, answer);
}

void StoreStandin::Update() {
  RemoveExpiredLeases();
  while (!late_writes_.empty() && late_writes_.begin()->first <= absl::Now()) {
    const json transaction = std::move(late_writes_.begin()->second);
    late_writes_.erase(late_writes_.begin());
    json ignored;
    CommitNow(transaction, &ignored);
  }
}

int StoreStandin::CommitNow(const json& transaction, json* answer) {
  for (const json& row : transaction.at("precondition")) {
    const auto it = items_.find(row.at("key").get<std::string>());
    if ((it == items_.end() ? 0 : it->second.revision) != row.at("revision").get<int64_t>()) {
      return 412;
    }
  }
  for (const json& row : transaction.at("writes")) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return 404;
    }
  }
  ++revision_;
  for (const json& row : transaction.at("writes")) {
    Item& item = items_[row.at("key").get<std::string>()];
    absl::Base64Unescape(row.at("value").get<std::string>(), &item.value);
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = row.value("lease", int64_t{0});
  }
  for (const json& key : transaction.at("remove")) {
    Erase(key.get<std::string>(), revision_);
  }
  changed_.SignalAll();
  *answer = {{"revision", revision_}};
  return 200;
}

void StoreStandin::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&mutex_);
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  changed_.SignalAll();
}

void StoreStandin::Remove(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  Erase(key, ++revision_);
  changed_.SignalAll();
}

std::string StoreStandin::Get(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  RemoveExpiredLeases();
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

void StoreStandin::SetDown(bool down) {
  absl::MutexLock lock(&mutex_);
  down_ = down;
  changed_.SignalAll();
}

void StoreStandin::SetDelay(absl::Duration delay) {
  absl::MutexLock lock(&mutex_);
  delay_ = delay;
}

void StoreStandin::SetLostAnswerRatio(double ratio) {
  absl::MutexLock lock(&mutex_);
  lost_answer_ratio_ = ratio;
}

void StoreStandin::SetLateWriteRatio(double ratio) {
  absl::MutexLock lock(&mutex_);
  late_write_ratio_ = ratio;
}

void StoreStandin::ExpireAllLeases() {
  absl::MutexLock lock(&mutex_);
  while (!leases_.empty()) {
    EndLease(leases_.begin()->first);
  }
}

}  // namespace pomelotray
