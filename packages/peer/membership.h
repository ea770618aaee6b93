#ifndef POMELOTRAY_PEER_MEMBERSHIP_H_
#define POMELOTRAY_PEER_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "model/vm.h"
#include "peer/member_table.h"
#include "peer/worker_pool.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Keeps the peer table: exchanges heartbeats with all instances of the own domain and with random
// ones of other domains, and spreads news of the rest. One thread schedules; calls run on a small
// pool, at most one per peer at a time, so that peers do not wait on one another.
class Membership {
 public:
  class Builder;

  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Start();
  // Stops the heartbeats and joins all threads.
  void Stop();
  // Tells the others that this instance is about to stop: heartbeats go to the own domain at once
  // and spread from there. The instance keeps exchanging heartbeats until Stop().
  void AnnounceLeaving();

  // Entry VMs of the platform's list; rows of other roles are ignored.
  void SetSeeds(const std::vector<VmEntry>& seeds);

  // Answers the call "heartbeat" of another instance.
  Result<nlohmann::json> HandleHeartbeat(const nlohmann::json& body);

  // All known instances, this one included, ordered by id.
  std::vector<Member> Members() const;
  // Live instances of a domain, this one included unless it is leaving.
  std::vector<Member> LiveInDomain(const FailureDomainId& domain) const;
  // The member that last announced the shard; only a hint, the claim in the store decides.
  std::optional<Member> OwnerOf(const ShardId& shard) const;

 private:
  struct Settings {
    Member self;
    PeerPort* port = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
    std::function<Revision()> revision = [] { return Revision(); };
    std::function<std::vector<ShardId>()> shards = [] { return std::vector<ShardId>(); };
    std::function<void(const Member&)> on_higher_revision = [](const Member&) {};
    size_t call_threads = 8;
  };
  // What is known about calling one address.
  struct Contact {
    bool in_flight = false;
    int failures = 0;
    absl::Time next = absl::InfinitePast();
  };

  explicit Membership(Settings settings);
  void Schedule();
  void Tick(absl::Time now, absl::Time scheduled);
  void RefreshSelf();
  // Addresses to call at this tick.
  std::vector<std::string> ChooseTargets(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ChooseForeign(absl::Time now, const std::vector<Member>& members,
                     std::vector<std::string>* targets) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool IsDue(const std::string& address, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ForgetContacts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Dispatch(const std::string& address, absl::Time scheduled);
  void Exchange(const std::string& address);
  void FinishContact(const std::string& address, bool answered)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Takes a message in; returns its sender when the message was not stale.
  std::optional<Member> Receive(const Heartbeat& heartbeat);
  void CompareRevision(const std::optional<Member>& sender);

  const Settings settings_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool hurry_ ABSL_GUARDED_BY(mutex_) = false;
  MemberTable table_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, FailureDomainId> seeds_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Contact> contacts_ ABSL_GUARDED_BY(mutex_);
  absl::Time next_foreign_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<WorkerPool> callers_;
  std::thread scheduler_;
};

// Required: own identity, peer port, clock and event log.
class Membership::Builder {
 public:
  Builder& Identity(InstanceId id, RegionId region, FailureDomainId domain);
  Builder& Addresses(std::string peer_address, std::string api_address);
  // Greater than those of all earlier processes with this id, for example the start time.
  Builder& Incarnation(int64_t incarnation);
  Builder& Port(PeerPort* port);
  Builder& Time(const Clock* clock);
  Builder& Events(EventLog* events);
  // Sources of what the heartbeats carry; called without locks held.
  Builder& ConfigurationRevision(std::function<Revision()> source);
  Builder& OwnedShards(std::function<std::vector<ShardId>()> source);
  // Called, possibly often and from several threads, when a peer shows a higher revision than the
  // own one. It must not block: it runs on the threads that exchange heartbeats.
  Builder& OnHigherRevision(std::function<void(const Member&)> callback);
  // Concurrent heartbeat calls.
  Builder& CallThreads(size_t threads);
  Result<std::unique_ptr<Membership>> Build();

 private:
  Settings settings_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_MEMBERSHIP_H_
