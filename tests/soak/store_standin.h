#ifndef POMELOTRAY_TESTS_SOAK_STORE_STANDIN_H_
#define POMELOTRAY_TESTS_SOAK_STORE_STANDIN_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace httplib {
class Server;
}

namespace pomelotray {

// In-memory stand-in for the platform's metadata store, served over HTTP. A test can inject faults.
class StoreStandin {
 public:
  StoreStandin();
  ~StoreStandin();

  std::string address() const;
  // Writes an item without a lease, in place of the operator or a worker.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Returns the value of the item, or an empty text if there is none.
  std::string Get(const std::string& key);

  // While the store is down, it answers every call with status 503.
  void SetDown(bool down);
  void SetDelay(absl::Duration delay);
  // Ratio of the writes that are committed but whose answer is lost.
  void SetLostAnswerRatio(double ratio);
  // Ratio of the writes that get no answer and are carried out 1 to 6 s later, if their conditions
  // still hold.
  void SetLateWriteRatio(double ratio);
  // Ends all leases at once, with the items that depend on them.
  void ExpireAllLeases();

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time expires;
  };

  void RegisterHandlers();
  nlohmann::json ItemJson(const std::string& key, const Item& item) const;
  void RemoveExpiredLeases() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void EndLease(int64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Erase(const std::string& key, int64_t revision) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  nlohmann::json Range(const std::string& prefix, const std::string& after);
  nlohmann::json Watch(const std::string& prefix, int64_t after, absl::Duration wait);
  // Returns the HTTP status and fills `answer`.
  int Commit(const nlohmann::json& transaction, nlohmann::json* answer);
  int CommitNow(const nlohmann::json& transaction, nlohmann::json* answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Brings the items up to date: ends leases and carries out late writes that are due.
  void Update() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool DelayAndCheckDown() const;
  bool ShouldLoseAnswer();

  std::unique_ptr<httplib::Server> server_;
  int port_ = 0;
  std::thread server_thread_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool down_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Duration delay_ ABSL_GUARDED_BY(mutex_);
  double lost_answer_ratio_ ABSL_GUARDED_BY(mutex_) = 0;
  double late_write_ratio_ ABSL_GUARDED_BY(mutex_) = 0;
  std::multimap<absl::Time, nlohmann::json> late_writes_ ABSL_GUARDED_BY(mutex_);
  int64_t commits_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t calls_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t revision_ ABSL_GUARDED_BY(mutex_) = 10;
  int64_t next_lease_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int64_t> deleted_ ABSL_GUARDED_BY(mutex_);
  std::map<int64_t, Lease> leases_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_STORE_STANDIN_H_
