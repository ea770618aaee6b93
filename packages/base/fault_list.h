#ifndef POMELOTRAY_BASE_FAULT_LIST_H_
#define POMELOTRAY_BASE_FAULT_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace pomelotray {

// Collects every fault of one input, so that its author can mend all of them at once.
class FaultList {
 public:
  // `problem` and `remedy` read as "<field> <problem>: <remedy>".
  void Add(std::string_view field, std::string_view problem, std::string_view remedy);

  bool empty() const { return faults_.empty(); }

  // "The <subject> is invalid: <fault>; <fault>." Succeeds when there are no faults.
  Result<void> Check(std::string_view subject, ErrorKind kind = ErrorKind::kInvalidArgument) const;

 private:
  std::vector<std::string> faults_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_FAULT_LIST_H_
