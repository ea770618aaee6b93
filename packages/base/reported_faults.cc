#include "base/reported_faults.h"

#include <utility>

namespace pomelotray {

std::vector<std::string> ReportedFaults::Update(std::map<std::string, std::string> faults) {
  std::vector<std::string> fresh;
  absl::MutexLock lock(&mutex_);
  for (const auto& [key, fault] : faults) {
    const auto known = faults_.find(key);
    if (known == faults_.end() || known->second != fault) {
      fresh.push_back(fault);
    }
  }
  faults_ = std::move(faults);
  return fresh;
}

}  // namespace pomelotray
