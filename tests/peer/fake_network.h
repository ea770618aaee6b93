#ifndef POMELOTRAY_TESTS_PEER_FAKE_NETWORK_H_
#define POMELOTRAY_TESTS_PEER_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/manual_clock.h"
#include "peer/membership.h"

namespace pomelotray {

// Carries heartbeats between Memberships in memory. It may lose requests and replies, deliver a
// request twice, and deliver it again much later.
class FakeNetwork {
 public:
  struct Faults {
    double lost = 0;
    double doubled = 0;
    double delayed = 0;
  };
  struct Usage {
    int64_t calls = 0;
    int64_t bytes = 0;
    size_t largest_news = 0;
    size_t malformed = 0;
  };

  explicit FakeNetwork(uint32_t seed) : random_(seed) {}

  void Attach(const std::string& address, Membership* membership);
  void Detach(const std::string& address);
  void SetFaults(const Faults& faults);
  // Calls from or to the address fail.
  void Cut(const std::string& address, bool cut);
  Result<nlohmann::json> Carry(const std::string& from, const std::string& to,
                               const nlohmann::json& body);
  Usage TakeUsage();
  bool idle() const;

 private:
  bool Chance(double probability) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Count(const nlohmann::json& message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Outcome<nlohmann::json> Deliver(const std::string& to, const nlohmann::json& body);

  mutable absl::Mutex mutex_;
  std::mt19937 random_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Membership*> receivers_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> cut_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::pair<std::string, nlohmann::json>> delayed_ ABSL_GUARDED_BY(mutex_);
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  Usage usage_ ABSL_GUARDED_BY(mutex_);
  int in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
};

// One instance's access to the network.
class FakePeerPort : public PeerPort {
 public:
  FakePeerPort(FakeNetwork* network, std::string address)
      : network_(network), address_(std::move(address)) {}

  Result<nlohmann::json> Call(const std::string& address, const std::string&,
                              const nlohmann::json& body, absl::Duration) override {
    return network_->Carry(address_, address, body);
  }

 private:
  FakeNetwork* const network_;
  const std::string address_;
};

// Instances with a common paused clock.
class FakeCluster {
 public:
  struct Node {
    std::string address;
    std::unique_ptr<FakePeerPort> port;
    std::unique_ptr<HybridClock> hybrid;
    std::unique_ptr<EventLog> events;
    std::unique_ptr<Membership> membership;
    std::shared_ptr<std::atomic<int64_t>> revision;
    std::shared_ptr<std::atomic<int64_t>> higher_revision;
  };

  explicit FakeCluster(uint32_t seed = 1) : network(seed) {}
  ~FakeCluster();

  // Instance `id` owns the shard <domain>/<id>.
  void Add(const std::string& id, const std::string& domain, int64_t incarnation = 1);
  // Stops the instance as a crash does.
  void Crash(const std::string& id);
  // Gives the entry VMs of all instances to each.
  void SeedAll();
  // Advances the clock in steps of one tick until `done` or for `limit`. Returns whether it is
  // done.
  bool RunUntil(absl::Duration limit, const std::function<bool()>& done);
  void Run(absl::Duration duration);
  // State of `id` as `observer` sees it, "unknown" when it does not know it.
  std::string StateOf(const std::string& observer, const std::string& id);
  bool AllSee(const std::string& id, const std::string& state);
  bool Converged();

  ManualClock clock;
  FakeNetwork network;
  std::map<std::string, Node> nodes;
  std::vector<VmEntry> seeds;

 private:
  void Settle();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_PEER_FAKE_NETWORK_H_
