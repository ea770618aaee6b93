#ifndef POMELOTRAY_REVIEW_WORLD_STORE_H_
#define POMELOTRAY_REVIEW_WORLD_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/world/http.h"

namespace review {

std::string EncodeBase64(const std::string& text);
std::string DecodeBase64(const std::string& text);

// What happens to one call of an instance.
enum class StoreFault {
  kNone,
  // 503, nothing is done.
  kBusy,
  // Nothing is done and there is no answer.
  kSilent,
  // The call is carried out, and its answer is lost.
  kAnswerLost,
};

// Stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each instance of the
// system calls it at an address of its own, so that it can be turned away alone.
class Store {
 public:
  // `caller` is the number given to AddAddress().
  using Fault = std::function<StoreFault(int caller, const HttpRequest& request)>;

  Store();
  // Returns the port at which the caller with this number reaches the store.
  int AddAddress(int caller);
  void SetFault(Fault fault);
  // Each call is answered this much later.
  void SetAnswerDelay(int64_t ms);
  // Writes as the operator or a worker does, without a condition.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::optional<std::string> Get(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    std::optional<Item> item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };

  HttpReply Answer(int caller, const HttpRequest& request);
  HttpReply Dispatch(const HttpRequest& request);
  HttpReply Key(const HttpRequest& request);
  HttpReply Range(const HttpRequest& request);
  HttpReply Watch(const HttpRequest& request);
  HttpReply Transaction(const HttpRequest& request);
  HttpReply LeaseCall(const HttpRequest& request);
  // The functions below are called with the mutex held.
  static nlohmann::json Row(const std::string& key, const Item& item);
  void Write(const std::string& key, const std::string& value, int64_t lease, int64_t revision);
  void Erase(const std::string& key, int64_t revision);
  void EndLease(int64_t id);
  void ExpireLeases();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Fault fault_;
  int64_t answer_delay_ms_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 100;
  int64_t last_lease_ = 0;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_STORE_H_
