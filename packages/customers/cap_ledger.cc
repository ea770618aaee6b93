#include "customers/cap_ledger.h"

#include <algorithm>
#include <utility>

#include "customers/cap_division.h"

namespace pomelotray {
namespace {

// Unanswered calls of which each part's allowances are kept apart. Those of older calls are
// combined.
constexpr size_t kMaxSent = 16;
// Number of calls to all parts after which another part comes first in the division. An allowance
// moves between parts within two calls; a scheduling round then has to use it.
constexpr int64_t kCallsPerTurn = 5;

CapAmounts MaxOf(const CapAmounts& a, const CapAmounts& b) {
  return {std::max(a[0], b[0]), std::max(a[1], b[1]), std::max(a[2], b[2])};
}

CapAmounts MinOf(const CapAmounts& a, const CapAmounts& b) {
  return {std::min(a[0], b[0]), std::min(a[1], b[1]), std::min(a[2], b[2])};
}

// Adds with saturation at kNoLimit.
int64_t AddLimits(int64_t a, int64_t b) { return std::min(kNoLimit, a + b); }

void Merge(const std::map<CustomerId, CapAmounts>& from, std::map<CustomerId, CapAmounts>* into) {
  for (const auto& [customer, amounts] : from) {
    CapAmounts& merged = (*into)[customer];
    merged = MaxOf(merged, amounts);
  }
}

const CapUse& UseOf(const CapReport& report, const CustomerId& customer) {
  static const CapUse* const kNone = new CapUse();
  const auto it = report.customers.find(customer);
  return it == report.customers.end() ? *kNone : it->second;
}

}  // namespace

CapLedger::CapLedger(PartName coordinator, int64_t term, int64_t sequence)
    : coordinator_(std::move(coordinator)), term_(term), sequence_(sequence) {}

void CapLedger::SetContracts(const std::vector<Contract>& contracts) {
  caps_.clear();
  customers_.clear();
  for (const Contract& contract : contracts) {
    customers_.insert(contract.customer);
    if (HasLimit(contract.hold)) {
      caps_[contract.customer] = ToCapAmounts(contract.hold);
    }
  }
}

void CapLedger::AddParts(const std::set<PartName>& parts) {
  for (const PartName& part : parts) {
    parts_[part];
  }
}

void CapLedger::MarkVacant(const PartName& part) {
  PartState vacant;
  vacant.known = true;
  // Answers and terms of its earlier owners stay out of date.
  vacant.report.owner_term = parts_[part].report.owner_term;
  vacant.has_inherited_limit = true;
  parts_[part] = std::move(vacant);
}

void CapLedger::RemovePart(const PartName& part) { parts_.erase(part); }

std::set<PartName> CapLedger::Parts() const {
  std::set<PartName> parts;
  for (const auto& [part, state] : parts_) {
    parts.insert(part);
  }
  return parts;
}

bool CapLedger::KnowsAllParts() const {
  return std::all_of(parts_.begin(), parts_.end(),
                     [](const auto& entry) { return entry.second.known; });
}

CapAmounts CapLedger::UsedIn(const PartState& state, const CustomerId& customer) {
  const CapUse& use = UseOf(state.report, customer);
  CapAmounts used = ToCapAmounts(use.used);
  const CapAmounts inherited = ToCapAmounts(use.inherited);
  const auto limit = state.inherited_limit.find(customer);
  for (size_t d = 0; d < kCapDimensions; ++d) {
    int64_t most = inherited[d];
    if (state.has_inherited_limit) {
      const int64_t before = limit == state.inherited_limit.end() ? 0 : limit->second[d];
      most = std::min(most, std::max<int64_t>(before - used[d], 0));
    }
    used[d] = AddLimits(used[d], most);
  }
  return used;
}

CapAmounts CapLedger::CountedIn(const PartState& state, const CustomerId& customer) {
  CapAmounts counted = UsedIn(state, customer);
  const CapUse& use = UseOf(state.report, customer);
  if (use.allowance.has_value()) {
    counted = MaxOf(counted, ToCapAmounts(*use.allowance));
  }
  for (const SentGrants& sent : state.sent) {
    const auto it = sent.allowances.find(customer);
    if (it != sent.allowances.end()) {
      counted = MaxOf(counted, it->second);
    }
  }
  return counted;
}

CapAmounts CapLedger::Counted(const PartName& part, const CustomerId& customer) const {
  const auto it = parts_.find(part);
  return it == parts_.end() ? CapAmounts{} : CountedIn(it->second, customer);
}

std::map<PartName, CapAmounts> CapLedger::Divide(const CustomerId& customer,
                                                 const CapAmounts& cap) const {
  std::vector<CapClaim> claims;
  for (const auto& [part, state] : parts_) {
    const CapUse& use = UseOf(state.report, customer);
    claims.push_back(CapClaim{UsedIn(state, customer), ToCapAmounts(use.waiting),
                              ToCapAmounts(use.unit), ToCapAmounts(state.report.capacity)});
  }
  const int64_t parts = static_cast<int64_t>(parts_.size());
  const size_t first = static_cast<size_t>(sequence_ / (parts * kCallsPerTurn) % parts);
  const std::vector<CapAmounts> divided = DivideCap(cap, claims, first);
  std::map<PartName, CapAmounts> result;
  size_t index = 0;
  for (const auto& [part, state] : parts_) {
    result[part] = divided[index++];
  }
  return result;
}

CapAmounts CapLedger::AllowanceFor(const PartName& part, const CustomerId& customer,
                                   const CapAmounts& cap) const {
  CapAmounts allowance;
  if (KnowsAllParts()) {
    allowance = Divide(customer, cap).at(part);
  } else {
    // An owner that has not answered may have any allowance of the earlier coordinator. The others
    // keep theirs. What inherited tasks may use is not known to have been allowed.
    const CapUse& use = UseOf(parts_.at(part).report, customer);
    allowance = MaxOf(ToCapAmounts(use.used), ToCapAmounts(use.allowance.value_or(Resources())));
  }
  CapAmounts others{};
  for (const auto& [name, state] : parts_) {
    if (name != part) {
      const CapAmounts counted = CountedIn(state, customer);
      for (size_t d = 0; d < kCapDimensions; ++d) {
        others[d] = AddLimits(others[d], counted[d]);
      }
    }
  }
  for (size_t d = 0; d < kCapDimensions; ++d) {
    allowance[d] = IsLimit(cap[d])
                       ? std::min(allowance[d], std::max<int64_t>(cap[d] - others[d], 0))
                       : kNoLimit;
  }
  return allowance;
}

CapCall CapLedger::MakeCall(const PartName& part, int64_t owner_term) {
  CapCall call;
  call.part = part;
  call.owner_term = owner_term;
  call.coordinator = coordinator_;
  call.coordinator_term = term_;
  call.sequence = sequence_++;
  PartState& state = parts_[part];
  SentGrants sent;
  sent.sequence = call.sequence;
  sent.owner_term = owner_term;
  for (const CustomerId& customer : customers_) {
    CapGrant& grant = call.customers[customer];
    for (const auto& [name, other] : parts_) {
      grant.rate_elsewhere += name == part ? 0 : UseOf(other.report, customer).rate;
    }
    const auto cap = caps_.find(customer);
    if (cap != caps_.end() && state.known) {
      CapAmounts allowance = AllowanceFor(part, customer, cap->second);
      if (!state.sent.empty()) {
        // The report that the division is based on is out of date. An owner that does not answer
        // must not be counted with more and more.
        allowance = MinOf(allowance, CountedIn(state, customer));
      }
      grant.allowance = ToResources(allowance);
      grant.cap = ToResources(cap->second);
      sent.allowances[customer] = allowance;
    }
  }
  state.sent.push_back(std::move(sent));
  if (state.sent.size() > kMaxSent) {
    SentGrants& second = state.sent[1];
    Merge(state.sent.front().allowances, &second.allowances);
    second.owner_term = std::max(second.owner_term, state.sent.front().owner_term);
    state.sent.pop_front();
  }
  return call;
}

void CapLedger::ApplyReport(const PartName& part, const CapReport& report) {
  const auto it = parts_.find(part);
  if (it == parts_.end()) {
    return;
  }
  PartState& state = it->second;
  if (report.owner_term < state.report.owner_term ||
      (report.owner_term == state.report.owner_term && report.sequence <= state.report.sequence)) {
    return;
  }
  if (state.known && report.owner_term > state.report.owner_term) {
    std::map<CustomerId, CapAmounts> limit;
    for (const auto& [customer, use] : report.customers) {
      limit[customer] = CountedIn(state, customer);
    }
    state.inherited_limit = std::move(limit);
    state.has_inherited_limit = true;
  }
  state.known = true;
  state.report = report;
  // The owner refuses calls that are older than the one that it answered, and those that were meant
  // for an earlier owner.
  while (!state.sent.empty() && (state.sent.front().sequence <= report.sequence ||
                                 state.sent.front().owner_term < report.owner_term)) {
    state.sent.pop_front();
  }
}

std::map<CustomerId, CapLedger::CustomerTotal> CapLedger::Totals() const {
  std::map<CustomerId, CustomerTotal> totals;
  for (const auto& [customer, cap] : caps_) {
    CapAmounts used{};
    CapAmounts wanting{};
    CapAmounts wanted{};
    CustomerTotal total;
    for (const auto& [part, state] : parts_) {
      const CapAmounts in_part = UsedIn(state, customer);
      const CapAmounts waiting = ToCapAmounts(UseOf(state.report, customer).waiting);
      for (size_t d = 0; d < kCapDimensions; ++d) {
        used[d] = AddLimits(used[d], in_part[d]);
        wanting[d] = AddLimits(wanting[d], waiting[d]);
      }
    }
    for (size_t d = 0; d < kCapDimensions; ++d) {
      wanted[d] = AddLimits(used[d], wanting[d]);
    }
    total.cap = ToResources(cap);
    total.waiting = ToResources(wanting);
    total.used = ToResources(used);
    total.at_cap = !total.waiting.IsZero() && !IsWithinCap(wanted, cap);
    totals.emplace(customer, total);
  }
  return totals;
}

}  // namespace pomelotray
