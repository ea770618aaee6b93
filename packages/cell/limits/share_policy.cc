#include "cell/limits/share_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/placement/schedule_round.h"

namespace pomelotray {
namespace {

// Used for contracts whose weight is not positive, which operators cannot create.
constexpr double kMinWeight = 0.001;
// Bounds the memory for arrivals while there are no contracts; about an hour of a usual load.
constexpr size_t kMaxUndecidedArrivals = 100'000;
constexpr double kWeightWithoutContract = 1;
// Parts are sums of fractions, so that a group exactly at its part may seem to be above it.
constexpr double kRounding = 1e-9;

}  // namespace

void SharePolicy::SetContracts(const std::vector<Contract>& contracts) {
  customers_.assign(1, CustomerId());
  weights_.assign(1, kWeightWithoutContract);
  index_.clear();
  for (const Contract& contract : contracts) {
    if (index_.emplace(contract.customer, customers_.size()).second) {
      customers_.push_back(contract.customer);
      weights_.push_back(std::max(contract.weight, kMinWeight));
    }
  }
  for (auto it = rates_.begin(); it != rates_.end();) {
    const GroupIndex group = FindGroup(it->first);
    if (group == kNoContract) {
      it = rates_.erase(it);
    } else {
      it->second.SetLimit(weights_[group], round_began_);
      ++it;
    }
  }
  standings_.clear();
  addresses_.clear();
  order_.clear();
  // The parts of the last round are in the order of the former contracts.
  groups_.clear();
  parts_.clear();
  contended_ = false;
}

SharePolicy::GroupIndex SharePolicy::FindGroup(const CustomerId& customer) const {
  const auto it = index_.find(customer);
  return it == index_.end() ? kNoContract : it->second;
}

void SharePolicy::NoteArrival(const JobIntake& intake, absl::Time now) {
  if (!intake.customer.empty()) {
    arrivals_.push_back(Arrival{intake.id, intake.customer, intake.accepted, now});
  }
}

void SharePolicy::ForgetJob(const JobId& id) {
  marked_.erase(id);
  const auto address = addresses_.find(id);
  if (address != addresses_.end()) {
    const auto standing = standings_.find(address->second);
    const size_t position = standing->second.position;
    if (position < order_.size() && order_[position].first == address->second) {
      // Without rounds in between, as in an outage, another job may get the address.
      order_[position] = {nullptr, nullptr};
    }
    standings_.erase(standing);
    addresses_.erase(address);
  }
}

pomelotray::ArrivalRate* SharePolicy::FindRate(const CustomerId& customer, absl::Time begin) {
  const GroupIndex group = FindGroup(customer);
  if (group == kNoContract) {
    return nullptr;
  }
  return &rates_.try_emplace(customer, weights_[group], begin, tolerance_).first->second;
}

void SharePolicy::MarkArrivals(const std::map<JobId, const CellJob*>& open_jobs) {
  std::sort(arrivals_.begin(), arrivals_.end(), [](const Arrival& a, const Arrival& b) {
    return std::tie(a.accepted, a.job) < std::tie(b.accepted, b.job);
  });
  for (const Arrival& arrival : arrivals_) {
    pomelotray::ArrivalRate* const rate = FindRate(arrival.customer, arrival.accepted);
    if (rate != nullptr && rate->Exceeds(arrival.accepted, arrival.arrived) &&
        open_jobs.count(arrival.job) > 0) {
      marked_.insert(arrival.job);
      ++newly_marked_;
    }
  }
  arrivals_.clear();
}

SharePolicy::Standing* SharePolicy::FindStanding(const CellJob& job, size_t* expected) {
  for (size_t ahead = 0; ahead < 2 && *expected + ahead < former_order_.size(); ++ahead) {
    if (former_order_[*expected + ahead].first == &job) {
      *expected += ahead + 1;
      return former_order_[*expected - 1].second;
    }
  }
  const auto [it, inserted] = standings_.try_emplace(&job);
  Standing* const standing = &it->second;
  if (inserted) {
    standing->group = FindGroup(job.intake.customer);
    standing->marked = standing->group != kNoContract && marked_.count(job.intake.id) > 0;
    addresses_[job.intake.id] = &job;
  } else {
    *expected = standing->position + 1;
  }
  return standing;
}

void SharePolicy::CountUse(const std::map<WorkerId, CellWorker>& workers) {
  capacity_ = Resources();
  for (const auto& [id, worker] : workers) {
    capacity_ += worker.description.capacity;
    for (const auto& [key, attempt] : worker.attempts) {
      groups_[FindGroup(attempt.customer)].used += attempt.reserved;
    }
  }
}

void SharePolicy::CountDemand(const std::map<JobId, const CellJob*>& open_jobs, absl::Time now,
                              const Resources& free) {
  Resources all;
  std::swap(order_, former_order_);
  order_.clear();
  size_t expected = 0;
  for (const auto& [id, job] : open_jobs) {
    Standing* const standing = FindStanding(*job, &expected);
    standing->yielding = standing->marked ? Yielding::kMarked : Yielding::kNone;
    standing->position = order_.size();
    order_.emplace_back(job, standing);
    Resources demand;
    for (const StepRun& run : job->runs) {
      if (IsStartable(*job, run, now)) {
        demand += ReservedFor(job->Step(run)) * run.waiting;
      }
    }
    if (demand.IsZero()) {
      continue;
    }
    if (standing->marked) {
      // Marked jobs get what the others leave, so they do not make the others compete.
      ++marked_jobs_[standing->group];
    } else {
      waiting_.push_back(WaitingJob{job->intake.policy.priority, job->objective, standing, demand});
      groups_[standing->group].waiting += demand;
      all += demand;
    }
  }
  contended_ = IsContended(all, free);
}

void SharePolicy::ApplyParts() {
  used_.resize(groups_.size());
  std::vector<bool> may_exceed(groups_.size());
  for (GroupIndex i = 0; i < groups_.size(); ++i) {
    used_[i] = DominantShare(groups_[i].used, capacity_);
    may_exceed[i] = DominantShare(groups_[i].used + groups_[i].waiting, capacity_) >
                    parts_[i].guaranteed + kRounding;
  }
  // The order matters only for the jobs of groups that have not used up their parts and that may.
  const auto needs_order = [this, &may_exceed](const WaitingJob& job) {
    const GroupIndex group = job.standing->group;
    if (used_[group] >= parts_[group].entitled - kRounding) {
      job.standing->yielding = Yielding::kAboveShare;
      return false;
    }
    return bool{may_exceed[group]};
  };
  waiting_.erase(std::stable_partition(waiting_.begin(), waiting_.end(), needs_order),
                 waiting_.end());
  // A group uses its part for the jobs that go first among its own.
  std::stable_sort(waiting_.begin(), waiting_.end(), [](const WaitingJob& a, const WaitingJob& b) {
    return a.priority != b.priority ? a.priority < b.priority : a.objective < b.objective;
  });
  std::vector<double> used = used_;
  for (const WaitingJob& job : waiting_) {
    const GroupIndex group = job.standing->group;
    const ShareParts& parts = parts_[group];
    if (used[group] >= parts.entitled - kRounding) {
      job.standing->yielding = Yielding::kAboveShare;
      continue;
    }
    if (used[group] >= parts.guaranteed - kRounding) {
      job.standing->yielding = Yielding::kAboveFraction;
    }
    groups_[group].used += job.demand;
    used[group] = DominantShare(groups_[group].used, capacity_);
  }
}

void SharePolicy::BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                             const std::map<WorkerId, CellWorker>& workers, absl::Time now) {
  round_began_ = now;
  cursor_ = 0;
  if (index_.empty()) {
    // The configuration may come after the first rounds of an owner.
    if (arrivals_.size() > kMaxUndecidedArrivals) {
      arrivals_.clear();
    }
    return;
  }
  MarkArrivals(open_jobs);
  groups_.assign(customers_.size(), ShareGroup());
  for (GroupIndex i = 0; i < groups_.size(); ++i) {
    groups_[i].weight = weights_[i];
  }
  marked_jobs_.assign(customers_.size(), 0);
  waiting_.clear();
  Resources free;
  for (const auto& [id, worker] : workers) {
    if (worker.AcceptsStarts(now)) {
      free += worker.Free();
    }
  }
  CountDemand(open_jobs, now, free);
  if (contended_) {
    CountUse(workers);
    parts_ = DivideCapacity(capacity_, groups_);
    ApplyParts();
  }
}

Yielding SharePolicy::Yields(const CellJob& job, const StepSpec&) const {
  if (index_.empty()) {
    return Yielding::kNone;
  }
  // A round asks about the jobs in their order, and about each of them once for each step.
  for (size_t ahead = 0; ahead < 2 && cursor_ + ahead < order_.size(); ++ahead) {
    if (order_[cursor_ + ahead].first == &job) {
      cursor_ += ahead;
      return order_[cursor_].second->yielding;
    }
  }
  const auto it = standings_.find(&job);
  if (it == standings_.end()) {
    return Yielding::kNone;
  }
  cursor_ = it->second.position;
  return it->second.yielding;
}

double SharePolicy::ArrivalRate(const CustomerId& customer, absl::Time now) const {
  const auto it = rates_.find(customer);
  return it == rates_.end() ? 0 : it->second.RateWithinLimit(now);
}

void SharePolicy::SetArrivalRateElsewhere(const CustomerId& customer, double rate) {
  pomelotray::ArrivalRate* const found = FindRate(customer, round_began_);
  if (found != nullptr) {
    found->SetRateElsewhere(rate, round_began_);
  }
}

std::vector<CustomerOverShare> SharePolicy::FindOverShare() const {
  std::vector<CustomerOverShare> found;
  for (GroupIndex i = 0; i < groups_.size(); ++i) {
    CustomerOverShare customer;
    customer.customer = customers_[i];
    customer.marked_jobs = marked_jobs_[i];
    bool above = false;
    if (contended_) {
      customer.used = used_[i];
      customer.parts = parts_[i];
      above = used_[i] > parts_[i].guaranteed + kRounding;
    }
    if (above || customer.marked_jobs > 0) {
      found.push_back(std::move(customer));
    }
  }
  return found;
}

}  // namespace pomelotray
