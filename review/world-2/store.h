#ifndef POMELOTRAY_REVIEW_WORLD_2_STORE_H_
#define POMELOTRAY_REVIEW_WORLD_2_STORE_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "review/world-2/http_server.h"
#include "review/world-2/record.h"

namespace review {

// The platform's metadata store, in memory. It loses nothing and forgets no history.
class Store {
 public:
  explicit Store(Record* record);
  ~Store();

  bool Start() { return server_.Listen(0); }
  std::string address() const { return server_.address(); }
  // From now on each answer takes this long. The call is carried out when it arrives.
  void SetDelay(int ms) { delay_ms_ = ms; }
  // Writes and removals of the operator and of the workers.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Returns the value of the item, or no value.
  std::optional<std::string> Get(const std::string& key);
  std::vector<std::string> Keys(const std::string& prefix);

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
    bool deleted = false;
    Item item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };

  std::optional<Reply> Handle(const Request& request);
  Reply Dispatch(const Request& request);
  Reply GetKey(const Request& request);
  Reply Range(const Request& request);
  Reply Watch(const Request& request);
  Reply Commit(const nlohmann::json& transaction);
  Reply Grant(const nlohmann::json& body);
  Reply Keep(int64_t lease);
  Reply End(int64_t lease);
  // The methods below are called with mutex_ held.
  static nlohmann::json ItemJson(const std::string& key, const Item& item);
  void Write(const std::string& key, const std::string& value, int64_t lease, int64_t revision);
  void Erase(const std::string& key, int64_t revision);
  void EndLease(int64_t lease);
  void EndDueLeases();

  Record* const record_;
  std::atomic<int> delay_ms_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int64_t revision_ = 10;
  int64_t next_lease_ = 100;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::vector<Event> events_;
  HttpServer server_;
};

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_2_STORE_H_
