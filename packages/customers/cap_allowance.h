#ifndef POMELOTRAY_CUSTOMERS_CAP_ALLOWANCE_H_
#define POMELOTRAY_CUSTOMERS_CAP_ALLOWANCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "customers/cap_messages.h"
#include "model/contract.h"

namespace pomelotray {

// The allowances of the owner of one pool part: how much each customer may have running there. Used
// by one thread at a time.
class CapAllowance {
 public:
  // Sets the contracts in force. Allowances of customers that are no longer named are kept, since
  // the coordinator counts them.
  void SetContracts(const std::vector<Contract>& contracts);
  bool HasCaps() const { return !caps_.empty(); }
  bool HasCap(const CustomerId& customer) const { return caps_.count(customer) > 0; }

  // Takes the allowances of a call. Fails with kFenced if a call of the same coordinator part with
  // the same or a higher sequence number, or with a higher term, was accepted before.
  Result<void> Apply(const CapCall& call);
  // Returns the allowance that the customer was last told, whether or not it has a cap now.
  std::optional<Resources> Told(const CustomerId& customer) const;
  const std::map<CustomerId, Resources>& told() const { return told_; }

  // Takes note of the time, from which the wait for a first allowance is counted.
  void NoteTime(absl::Time now);
  // Returns how many of `count` tasks of the customer may start if it has `used` running. A
  // customer that has waited for its first allowance for long may start a single task if it has
  // nothing running.
  int64_t MaxStarts(const CustomerId& customer, const Resources& used, const Resources& demand,
                    int64_t count) const;

 private:
  std::map<CustomerId, Resources> caps_;
  std::map<CustomerId, Resources> told_;
  // The caps that the allowances are parts of.
  std::map<CustomerId, Resources> told_caps_;
  // Since when each customer with a cap has had no allowance.
  std::map<CustomerId, absl::Time> untold_since_;
  absl::Time now_ = absl::InfinitePast();
  // Term and sequence number of the last accepted call, by the coordinator's part.
  std::map<PartName, std::pair<int64_t, int64_t>> last_call_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_ALLOWANCE_H_
