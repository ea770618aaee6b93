#ifndef POMELOTRAY_CELL_LIMITS_CAP_POLICY_H_
#define POMELOTRAY_CELL_LIMITS_CAP_POLICY_H_

#include <map>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "cell/placement/round_policies.h"
#include "customers/cap_allowance.h"
#include "customers/cap_messages.h"
#include "customers/cap_rates.h"
#include "model/contract.h"

namespace pomelotray {

// Capacity of workers on which attempts may be running that the owner does not know of.
struct UnknownUse {
  // Inherited tasks without a known attempt may be running, on workers with this capacity in total.
  bool inherited_tasks_may_run = false;
  Resources capacity;
};

// Keeps what the customers have running in one pool part within their caps. Used by one thread at
// a time.
class CapPolicy : public StartGate {
 public:
  // Sets the contracts in force. Customers without a contract have no cap.
  void SetContracts(const std::vector<Contract>& contracts);
  // Sets the source and destination of the rates in calls; may be null, for rates of 0. `rates`
  // must outlive this object.
  void SetRates(CapRates* rates) { rates_ = rates; }
  // Takes note of the state at the beginning of a round. Does nothing if no contract has a cap.
  void BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                  const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                  absl::Time now);

  int64_t MaxStarts(const CustomerId& customer, const Resources& demand,
                    int64_t count) const override;
  void NoteStart(const CustomerId& customer, const Resources& demand) override;

  // Takes the allowances of a call of the coordinator and returns the part's state for the answer,
  // without the owner's term. The state must be as current as at the beginning of a round. Fails
  // with kFenced if a later call was applied before.
  Result<CapReport> Exchange(const CapCall& call, const std::map<JobId, const CellJob*>& open_jobs,
                             const std::map<WorkerId, CellWorker>& workers,
                             const UnknownUse& unknown, absl::Time now);

 private:
  // What a customer has running in the part.
  struct Usage {
    Resources known;
    // What inherited tasks without a known attempt may use in addition.
    Resources inherited;
  };

  void CountUse(const std::map<JobId, const CellJob*>& open_jobs,
                const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                absl::Time now);
  void AddWaiting(const std::map<JobId, const CellJob*>& open_jobs,
                  const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                  absl::Time now, CapReport* report) const;

  CapAllowance allowance_;
  std::set<CustomerId> customers_;
  std::map<CustomerId, Usage> usage_;
  CapRates* rates_ = nullptr;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_LIMITS_CAP_POLICY_H_
