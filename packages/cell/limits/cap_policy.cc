#include "cell/limits/cap_policy.h"

#include <algorithm>

#include "cell/placement/schedule_round.h"
#include "customers/cap_dimensions.h"

namespace pomelotray {
namespace {

// What the attempt counts against its customer's cap.
Resources ChargeOf(const Attempt& attempt) { return Max(attempt.demand, attempt.reserved); }

Resources NotNegative(const Resources& resources) { return Max(resources, Resources()); }

}  // namespace

void CapPolicy::SetContracts(const std::vector<Contract>& contracts) {
  allowance_.SetContracts(contracts);
  customers_.clear();
  for (const Contract& contract : contracts) {
    customers_.insert(contract.customer);
  }
}

void CapPolicy::BeginRound(const std::map<JobId, const CellJob*>& open_jobs,
                           const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                           absl::Time now) {
  if (allowance_.HasCaps()) {
    CountUse(open_jobs, workers, unknown, now);
  }
}

void CapPolicy::CountUse(const std::map<JobId, const CellJob*>& open_jobs,
                         const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                         absl::Time now) {
  usage_.clear();
  for (const auto& [id, worker] : workers) {
    for (const auto& [key, attempt] : worker.attempts) {
      if (!attempt.customer.empty()) {
        usage_[attempt.customer].known += ChargeOf(attempt);
      }
    }
  }
  if (unknown.inherited_tasks_may_run) {
    for (const auto& [id, job] : open_jobs) {
      if (!job->inherited || job->intake.customer.empty()) {
        continue;
      }
      for (const StepRun& run : job->runs) {
        if (IsStartable(*job, run, now)) {
          Resources& inherited = usage_[job->intake.customer].inherited;
          inherited = Min(inherited + job->Step(run).demand * run.waiting, unknown.capacity);
        }
      }
    }
  }
  allowance_.NoteTime(now);
}

int64_t CapPolicy::MaxStarts(const CustomerId& customer, const Resources& demand,
                             int64_t count) const {
  if (!allowance_.HasCap(customer)) {
    return count;
  }
  const auto usage = usage_.find(customer);
  const Resources used =
      usage == usage_.end() ? Resources() : usage->second.known + usage->second.inherited;
  return allowance_.MaxStarts(customer, used, demand, count);
}

void CapPolicy::NoteStart(const CustomerId& customer, const Resources& demand) {
  if (allowance_.HasCap(customer)) {
    usage_[customer].known += demand;
  }
}

Result<CapReport> CapPolicy::Exchange(const CapCall& call,
                                      const std::map<JobId, const CellJob*>& open_jobs,
                                      const std::map<WorkerId, CellWorker>& workers,
                                      const UnknownUse& unknown, absl::Time now) {
  BOOST_LEAF_CHECK(allowance_.Apply(call));
  CountUse(open_jobs, workers, unknown, now);
  CapReport report;
  report.sequence = call.sequence;
  for (const CustomerId& customer : customers_) {
    report.customers[customer];
  }
  for (const auto& [customer, told] : allowance_.told()) {
    report.customers[customer].allowance = told;
  }
  for (const auto& [customer, usage] : usage_) {
    report.customers[customer].used = usage.known;
    report.customers[customer].inherited = usage.inherited;
  }
  AddWaiting(open_jobs, workers, unknown, now, &report);
  if (rates_ != nullptr) {
    for (const auto& [customer, grant] : call.customers) {
      rates_->SetRateElsewhere(customer, grant.rate_elsewhere);
    }
    for (auto& [customer, use] : report.customers) {
      use.rate = rates_->Rate(customer);
    }
  }
  return report;
}

void CapPolicy::AddWaiting(const std::map<JobId, const CellJob*>& open_jobs,
                           const std::map<WorkerId, CellWorker>& workers, const UnknownUse& unknown,
                           absl::Time now, CapReport* report) const {
  Resources free;
  for (const auto& [id, worker] : workers) {
    report->capacity += worker.description.capacity;
    if (worker.AcceptsStarts(now)) {
      free += NotNegative(worker.Free());
    }
  }
  // Best-effort tasks run on processors that are reserved for others.
  Resources free_for_best_effort = free;
  free_for_best_effort.cpu = report->capacity.cpu;
  std::map<CustomerId, Resources> best_effort;
  for (const auto& [id, job] : open_jobs) {
    const auto entry = report->customers.find(job->intake.customer);
    if (entry == report->customers.end() || job->cancel_requested ||
        (job->inherited && unknown.inherited_tasks_may_run)) {
      continue;
    }
    CapUse& use = entry->second;
    for (const StepRun& run : job->runs) {
      if (!IsStartable(*job, run, now)) {
        continue;
      }
      const StepSpec& step = job->Step(run);
      const Resources& room = step.best_effort ? free_for_best_effort : free;
      Resources& waiting = step.best_effort ? best_effort[entry->first] : use.waiting;
      // The part cannot start more than it has room for, and an allowance for the rest would be of
      // no use to any part.
      waiting = Min(waiting + step.demand * run.waiting, room);
      const Resources unit = step.gang ? step.demand * run.waiting : step.demand;
      if (unit.FitsInto(room) &&
          DominantShare(unit, report->capacity) > DominantShare(use.unit, report->capacity)) {
        use.unit = unit;
      }
    }
  }
  for (const auto& [customer, waiting] : best_effort) {
    report->customers[customer].waiting += waiting;
  }
}

}  // namespace pomelotray
