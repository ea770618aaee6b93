#include "model/contract_rules.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

// Violations in the order in which their kinds take precedence.
class Violations {
 public:
  void Add(ErrorKind kind, std::string text) {
    if (texts_.empty()) {
      kind_ = kind;
    }
    texts_.push_back(std::move(text));
  }

  Result<void> Check(const CustomerId& customer) const {
    if (texts_.empty()) {
      return {};
    }
    return Fail(kind_, absl::StrCat("The contract of ", customer.value(),
                                    " does not allow the job: ", absl::StrJoin(texts_, "; "), "."));
  }

 private:
  ErrorKind kind_ = ErrorKind::kInternal;
  std::vector<std::string> texts_;
};

void CheckPermissions(const JobSpec& spec, const Contract& contract, Violations* violations) {
  if (contract.kinds.count(spec.kind) == 0) {
    violations->Add(ErrorKind::kPermissionDenied,
                    absl::StrCat("kind \"", std::string(JobKindName(spec.kind)),
                                 "\" is not in its kinds: submit an allowed kind or amend kinds"));
  }
  if (contract.pools.count(spec.pool) == 0) {
    violations->Add(ErrorKind::kPermissionDenied,
                    absl::StrCat("pool \"", spec.pool.value(),
                                 "\" is not in its pools: use an allowed pool or amend pools"));
  }
  if (spec.priority == Priority::kUrgent && !contract.allow_urgent) {
    violations->Add(ErrorKind::kPermissionDenied,
                    "priority \"urgent\" is not allowed: use \"normal\" or amend allow_urgent");
  }
}

void CheckHold(const JobSpec& spec, const Contract& contract, Violations* violations) {
  if (contract.max_jobs <= 0) {
    violations->Add(ErrorKind::kOverLimit, "max_jobs is 0: amend max_jobs");
  }
  const Resources need = LargestSimultaneousHold(spec);
  const auto check = [violations](const char* name, int64_t wanted, int64_t allowed) {
    if (wanted > allowed) {
      violations->Add(ErrorKind::kOverLimit,
                      absl::StrCat("the job needs ", wanted, " ", name, " at once and hold allows ",
                                   allowed, ": ask for less or amend hold"));
    }
  };
  check("cpu_millicores", need.cpu.value(), contract.hold.cpu.value());
  check("memory_mib", need.memory.value(), contract.hold.memory.value());
  check("accelerators", need.accelerators.value(), contract.hold.accelerators.value());
  check("slots", need.slots.value(), contract.hold.slots.value());
}

void CheckDeadline(const JobSpec& spec, const Contract& contract, absl::Time now,
                   Violations* violations) {
  if (!spec.deadline.has_value()) {
    return;
  }
  if (*spec.deadline - now > contract.max_deadline) {
    violations->Add(
        ErrorKind::kInvalidArgument,
        absl::StrCat("deadline ", TimeToText(*spec.deadline), " is more than max_deadline_ms ",
                     absl::ToInt64Milliseconds(contract.max_deadline),
                     " away: use an earlier deadline or amend max_deadline_ms"));
  }
  if (*spec.deadline <= now) {
    violations->Add(ErrorKind::kDeadlineUnmeetable,
                    absl::StrCat("deadline ", TimeToText(*spec.deadline),
                                 " has passed: submit again with a later one"));
  }
}

}  // namespace

Resources LargestSimultaneousHold(const JobSpec& spec) {
  return spec.kind == JobKind::kBatch ? spec.demand : spec.demand * spec.task_count;
}

Result<void> CheckAgainstContract(const JobSpec& spec, const Contract& contract, absl::Time now) {
  if (spec.customer != contract.customer) {
    return Fail(
        ErrorKind::kInternal,
        absl::StrCat("A job of ", spec.customer.value(), " was checked against the contract of ",
                     contract.customer.value(), "; report this as a defect."));
  }
  Violations violations;
  CheckPermissions(spec, contract, &violations);
  CheckHold(spec, contract, &violations);
  CheckDeadline(spec, contract, now, &violations);
  return violations.Check(contract.customer);
}

JobSpec WithContractDefaults(JobSpec spec, const Contract& contract, absl::Time now) {
  if (spec.kind != JobKind::kService && !spec.deadline.has_value()) {
    spec.deadline = now + contract.default_deadline;
  }
  return spec;
}

}  // namespace pomelotray
