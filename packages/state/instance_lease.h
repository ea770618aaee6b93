#ifndef POMELOTRAY_STATE_INSTANCE_LEASE_H_
#define POMELOTRAY_STATE_INSTANCE_LEASE_H_

#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "state/state_context.h"

namespace pomelotray {

inline constexpr absl::Duration kInstanceLeaseTtl = absl::Seconds(3);
inline constexpr absl::Duration kInstanceLeaseRenewal = absl::Seconds(1);
// Bound on the drift between this clock and the store's.
inline constexpr double kClockDriftBound = 0.01;

// What an instance publishes under `instances/<id>`.
struct InstanceRecord {
  InstanceId id;
  FailureDomainId domain;
  RegionId region;
  std::string peer_address;
  int64_t incarnation = 0;
};

// Keeps this instance's entry in the store alive and tells whether others may still believe in it.
class InstanceLease {
 public:
  InstanceLease(const StateContext& context, InstanceRecord self);
  ~InstanceLease();

  // Starts the renewal thread, which grants the lease at once.
  void Start();
  // Ends the renewal thread and revokes the lease, so that others need not wait for it to lapse.
  void Stop();

  // True while the store cannot have let the lease lapse, by this clock: the time to live less the
  // drift bound, counted from the moment at which the last successful renewal was sent.
  bool Held() const;
  absl::Time HeldUntil() const;

  // Instances that hold a lease now.
  Result<std::set<InstanceId>> LiveInstances();
  Result<std::vector<InstanceRecord>> LiveRecords();

  const InstanceRecord& self() const { return self_; }

 private:
  void Run();
  // Renews the lease, or grants a new one when there is none; returns whether it succeeded.
  bool RenewOnce();
  Result<void> Renew(const StoreLeaseId& lease);
  Result<void> Grant();
  Result<void> Publish(const StoreLeaseId& lease);
  void SetHeld(const StoreLeaseId& lease, absl::Time sent);
  void ReportExpiry(const Error& error);

  const StateContext context_;
  const InstanceRecord self_;
  const std::string key_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool reported_held_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<StoreLeaseId> lease_ ABSL_GUARDED_BY(mutex_);
  absl::Time held_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_INSTANCE_LEASE_H_
