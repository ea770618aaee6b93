#ifndef POMELOTRAY_BASE_STRONG_ID_H_
#define POMELOTRAY_BASE_STRONG_ID_H_

#include <ostream>
#include <string>
#include <utility>

namespace pomelotray {

// An identifier that cannot be confused with identifiers of another kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) { return a.value_ == b.value_; }
  friend bool operator!=(const StrongId& a, const StrongId& b) { return a.value_ != b.value_; }
  friend bool operator<(const StrongId& a, const StrongId& b) { return a.value_ < b.value_; }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }
  template <typename H>
  friend H AbslHashValue(H state, const StrongId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

using InstanceId = StrongId<struct InstanceIdTag>;
using VmId = StrongId<struct VmIdTag>;
// A worker is a VM that runs tasks; its id is the id of its VM.
using WorkerId = VmId;
using ExecutorId = VmId;
using RegionId = StrongId<struct RegionIdTag>;
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using RackId = StrongId<struct RackIdTag>;
using PoolName = StrongId<struct PoolNameTag>;
using CustomerId = StrongId<struct CustomerIdTag>;
using JobId = StrongId<struct JobIdTag>;
using TaskId = StrongId<struct TaskIdTag>;
using AttemptId = StrongId<struct AttemptIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// Changes each time a worker process starts.
using BootId = StrongId<struct BootIdTag>;
using StoreLeaseId = StrongId<struct StoreLeaseIdTag>;

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_STRONG_ID_H_
