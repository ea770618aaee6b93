#include "base/fault_list.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace pomelotray {
namespace {

// Bounds the message for inputs with thousands of faults.
constexpr size_t kMaxListedFaults = 50;

}  // namespace

void FaultList::Add(std::string_view field, std::string_view problem, std::string_view remedy) {
  std::string fault(field);
  fault.append(" ").append(problem).append(": ").append(remedy);
  faults_.push_back(std::move(fault));
}

Result<void> FaultList::Check(std::string_view subject, ErrorKind kind) const {
  if (faults_.empty()) {
    return {};
  }
  std::vector<std::string> listed = faults_;
  if (listed.size() > kMaxListedFaults) {
    const size_t omitted = listed.size() - kMaxListedFaults;
    listed.resize(kMaxListedFaults);
    listed.push_back(absl::StrCat("and ", omitted, " more"));
  }
  return Fail(kind, absl::StrCat("The ", std::string(subject),
                                 " is invalid: ", absl::StrJoin(listed, "; "), "."));
}

}  // namespace pomelotray
