#ifndef POMELOTRAY_BASE_REPORTED_FAULTS_H_
#define POMELOTRAY_BASE_REPORTED_FAULTS_H_

#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace pomelotray {

// Remembers the faulty entries of a list that is read again and again, so that each fault is logged
// once and not with each read. Thread-safe.
class ReportedFaults {
 public:
  // Takes all faults that one read of the whole list found, by the entry's key, and returns those
  // that the read before did not find.
  std::vector<std::string> Update(std::map<std::string, std::string> faults);

 private:
  absl::Mutex mutex_;
  std::map<std::string, std::string> faults_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_REPORTED_FAULTS_H_
