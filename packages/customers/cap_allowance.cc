#include "customers/cap_allowance.h"

#include <algorithm>

#include "customers/cap_dimensions.h"

namespace pomelotray {
namespace {

// Time after which an owner that no coordinator has called starts a single task of a customer. A
// coordinator that is alive calls within 0.1 s, and a waiting job must have something running
// within 3 s.
constexpr absl::Duration kLoneStartDelay = absl::Seconds(1);

// Returns the allowance, a part of `told_cap`, under the cap of the configuration in force here. A
// higher cap does not raise it.
int64_t ScaleToCap(int64_t allowance, int64_t told_cap, int64_t cap) {
  if (!IsLimit(told_cap)) {
    return std::min(allowance, cap);
  }
  const double share = static_cast<double>(cap) / static_cast<double>(told_cap);
  return share >= 1 ? allowance : static_cast<int64_t>(static_cast<double>(allowance) * share);
}

}  // namespace

void CapAllowance::SetContracts(const std::vector<Contract>& contracts) {
  caps_.clear();
  for (const Contract& contract : contracts) {
    if (HasLimit(contract.hold)) {
      caps_[contract.customer] = contract.hold;
    }
  }
  for (auto it = untold_since_.begin(); it != untold_since_.end();) {
    it = HasCap(it->first) ? std::next(it) : untold_since_.erase(it);
  }
}

Result<void> CapAllowance::Apply(const CapCall& call) {
  const std::pair<int64_t, int64_t> number = {call.coordinator_term, call.sequence};
  const auto last = last_call_.find(call.coordinator);
  if (last != last_call_.end() && number <= last->second) {
    return Fail(ErrorKind::kFenced,
                "A later call of the coordinator of the caps was applied before; its next call "
                "repeats the allowances.");
  }
  last_call_[call.coordinator] = number;
  for (const auto& [customer, grant] : call.customers) {
    if (grant.allowance.has_value()) {
      told_[customer] = *grant.allowance;
      told_caps_[customer] = grant.cap;
      untold_since_.erase(customer);
    }
  }
  return {};
}

std::optional<Resources> CapAllowance::Told(const CustomerId& customer) const {
  const auto it = told_.find(customer);
  return it == told_.end() ? std::nullopt : std::optional<Resources>(it->second);
}

void CapAllowance::NoteTime(absl::Time now) {
  now_ = now;
  for (const auto& [customer, cap] : caps_) {
    if (told_.count(customer) == 0) {
      untold_since_.emplace(customer, now);
    }
  }
}

int64_t CapAllowance::MaxStarts(const CustomerId& customer, const Resources& used,
                                const Resources& demand, int64_t count) const {
  const auto cap = caps_.find(customer);
  if (cap == caps_.end()) {
    return count;
  }
  const auto told = told_.find(customer);
  if (told == told_.end()) {
    const auto since = untold_since_.find(customer);
    const bool alone = since != untold_since_.end() && now_ - since->second >= kLoneStartDelay &&
                       used.IsZero() &&
                       IsWithinCap(ToCapAmounts(demand), ToCapAmounts(cap->second));
    return alone ? std::min<int64_t>(count, 1) : 0;
  }
  const CapAmounts needed = ToCapAmounts(demand);
  const CapAmounts taken = ToCapAmounts(used);
  const CapAmounts limit = ToCapAmounts(told->second);
  const CapAmounts limit_cap = ToCapAmounts(told_caps_.at(customer));
  const CapAmounts configured = ToCapAmounts(cap->second);
  int64_t allowed = count;
  for (size_t d = 0; d < kCapDimensions; ++d) {
    if (IsLimit(configured[d]) && needed[d] > 0) {
      const int64_t scaled = ScaleToCap(limit[d], limit_cap[d], configured[d]);
      allowed = std::min(allowed, std::max<int64_t>(scaled - taken[d], 0) / needed[d]);
    }
  }
  return allowed;
}

}  // namespace pomelotray
