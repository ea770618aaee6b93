#ifndef POMELOTRAY_CELL_LIMITS_SHARE_POLICY_H_
#define POMELOTRAY_CELL_LIMITS_SHARE_POLICY_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "cell/placement/round_policies.h"
#include "customers/arrival_rate.h"
#include "customers/cap_rates.h"
#include "customers/fair_share.h"
#include "model/contract.h"

namespace pomelotray {

// A customer that has more of the pool than its weight's fraction, or waiting jobs beyond its rate.
struct CustomerOverShare {
  // Empty for the jobs without a contract.
  CustomerId customer;
  // Dominant share of the pool that its tasks use, and the parts that are due to it.
  double used = 0;
  ShareParts parts;
  // Number of its jobs with waiting tasks that exceed its rate.
  int64_t marked_jobs = 0;
};

// Makes customers yield with what lies beyond their shares: with jobs that exceed their rate at all
// times, and with what exceeds their parts of the pool while the other waiting tasks do not fit
// into the free capacity. Has no effect without contracts. Used by one thread at a time.
class SharePolicy : public StepOrder, public CapRates {
 public:
  // `tolerance` applies to the rates of all customers.
  explicit SharePolicy(const RateTolerance& tolerance = RateTolerance()) : tolerance_(tolerance) {}

  // Sets the contracts in force. Jobs of customers without a contract form one group of weight 1,
  // which has no rate to exceed.
  void SetContracts(const std::vector<Contract>& contracts);
  // Takes note of a job that has just arrived at the owner. For an inherited job, `now` is the time
  // of its acceptance. The next round decides whether the job exceeds its customer's rate, in the
  // order of acceptance, so that a later owner comes to the same answer.
  void NoteArrival(const JobIntake& intake, absl::Time now);
  // Takes note that a job is in a final state.
  void ForgetJob(const JobId& id);
  // Takes note of the state at the beginning of a round. The jobs must stay at their addresses
  // until ForgetJob().
  void BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                  const std::map<WorkerId, CellWorker>& workers, absl::Time now);

  Yielding Yields(const CellJob& job, const StepSpec& step) const override;

  // Returns the customer's jobs per second within its rate that arrived here in the last second, as
  // of the last round. 0 for customers without a contract.
  double ArrivalRate(const CustomerId& customer, absl::Time now) const;
  // Sets the jobs per second within the customer's rate that other owners count. Takes effect for
  // jobs that arrive later. Does nothing for customers without a contract.
  void SetArrivalRateElsewhere(const CustomerId& customer, double rate);

  // The same for the calls about caps, by which the owners exchange their rates.
  double Rate(const CustomerId& customer) const override {
    return ArrivalRate(customer, round_began_);
  }
  void SetRateElsewhere(const CustomerId& customer, double rate) override {
    SetArrivalRateElsewhere(customer, rate);
  }

  // Returns the customers that were over their shares when the last round began.
  std::vector<CustomerOverShare> FindOverShare() const;
  // Returns how many open jobs have been found to exceed the rates since the last call.
  int64_t TakeMarkedCount() { return std::exchange(newly_marked_, 0); }

 private:
  // An index in groups_; kNoContract for the jobs without a contract.
  using GroupIndex = size_t;
  static constexpr GroupIndex kNoContract = 0;

  struct Arrival {
    JobId job;
    CustomerId customer;
    absl::Time accepted;
    absl::Time arrived;
  };
  // What is known of an open job from its first round on.
  struct Standing {
    GroupIndex group = kNoContract;
    bool marked = false;
    // Decision for the current round.
    Yielding yielding = Yielding::kNone;
    // Index in order_ in the last round.
    size_t position = 0;
  };
  // An unmarked job with waiting tasks.
  struct WaitingJob {
    int priority = 0;
    absl::Time objective;
    Standing* standing = nullptr;
    Resources demand;
  };

  GroupIndex FindGroup(const CustomerId& customer) const;
  // Returns null for customers without a contract. A new bucket is full at `begin`.
  pomelotray::ArrivalRate* FindRate(const CustomerId& customer, absl::Time begin);
  // Decides which of the jobs that arrived since the last round exceed the rates.
  void MarkArrivals(const std::map<JobId, const CellJob*>& open_jobs);
  // Returns what is known of the job. `expected` is its probable index in order_; set to that of
  // the next job.
  Standing* FindStanding(const CellJob& job, size_t* expected);
  // Adds up what the groups use and need.
  void CountUse(const std::map<WorkerId, CellWorker>& workers);
  // Sets contended_ as well.
  void CountDemand(const std::map<JobId, const CellJob*>& open_jobs, absl::Time now,
                   const Resources& free);
  // Makes waiting jobs yield that exceed the parts of their groups.
  void ApplyParts();

  const RateTolerance tolerance_;
  std::vector<CustomerId> customers_;
  absl::flat_hash_map<CustomerId, GroupIndex> index_;
  std::vector<double> weights_;
  std::map<CustomerId, pomelotray::ArrivalRate> rates_;
  std::vector<Arrival> arrivals_;
  // Open jobs that exceed the rates.
  absl::flat_hash_set<JobId> marked_;
  int64_t newly_marked_ = 0;
  // Standings by the address of the job, which is cheaper to look up than its id, and the addresses
  // by id.
  absl::node_hash_map<const CellJob*, Standing> standings_;
  absl::flat_hash_map<JobId, const CellJob*> addresses_;
  // The open jobs in the order of their ids. Each round visits them in this order, which saves most
  // look-ups.
  std::vector<std::pair<const CellJob*, Standing*>> order_;
  std::vector<std::pair<const CellJob*, Standing*>> former_order_;
  // Where the next call of Yields() probably finds its job in order_.
  mutable size_t cursor_ = 0;

  // State of the current round.
  absl::Time round_began_ = absl::InfinitePast();
  Resources capacity_;
  std::vector<ShareGroup> groups_;
  std::vector<ShareParts> parts_;
  // Dominant shares of the pool that the groups used when the round began.
  std::vector<double> used_;
  std::vector<int64_t> marked_jobs_;
  bool contended_ = false;
  std::vector<WaitingJob> waiting_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_LIMITS_SHARE_POLICY_H_
