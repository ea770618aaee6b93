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
// Upper bound on the relative drift between this instance's clock and the store's clock.
inline constexpr double kClockDriftBound = 0.01;

// The value that an instance publishes under the store key `instances/<id>`.
struct InstanceRecord {
  InstanceId id;
  FailureDomainId domain;
  RegionId region;
  std::string peer_address;
  int64_t incarnation = 0;
};

// Renews the store lease to which this instance's record is attached, and tells whether the lease
// may still be valid.
class InstanceLease {
 public:
  InstanceLease(const StateContext& context, InstanceRecord self);
  ~InstanceLease();

  // Starts the renewal thread, which requests a lease immediately.
  void Start();
  // Stops the renewal thread and revokes the lease, so that other instances need not wait for it to
  // expire.
  void Stop();

  // True while the store cannot have expired the lease. The validity period is the time to live
  // minus the drift bound, measured on the local clock from the time at which the last successful
  // renewal request was sent.
  bool Held() const;
  absl::Time HeldUntil() const;

  // The instances whose record is in the store, that is, whose lease has not expired.
  Result<std::set<InstanceId>> LiveInstances();
  Result<std::vector<InstanceRecord>> LiveRecords();

  const InstanceRecord& self() const { return self_; }

 private:
  void Run();
  // Renews the lease, or requests a new one if there is none or it has expired. Returns true on
  // success.
  bool RenewOnce();
  Result<void> Renew(const StoreLeaseId& lease);
  Result<void> Grant();
  Result<void> Publish(const StoreLeaseId& lease);
  void ExtendValidity(const StoreLeaseId& lease, absl::Time sent);
  void ReportExpiry(const Error& error);

  const StateContext context_;
  const InstanceRecord self_;
  const std::string key_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // True from a successful renewal until the loss of the lease is logged, so that each loss is
  // logged once.
  bool reported_held_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<StoreLeaseId> lease_ ABSL_GUARDED_BY(mutex_);
  absl::Time held_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_INSTANCE_LEASE_H_
