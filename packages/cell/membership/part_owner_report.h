#ifndef POMELOTRAY_CELL_MEMBERSHIP_PART_OWNER_REPORT_H_
#define POMELOTRAY_CELL_MEMBERSHIP_PART_OWNER_REPORT_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "base/event_log.h"
#include "cell/membership/part_claim.h"

namespace pomelotray {

// A part of a pool and since when it has had no owner, by the clock of this instance.
struct PartOwnership {
  PartName part;
  // Infinite future if the part has an owner.
  absl::Time unowned_since = absl::InfiniteFuture();
  // The instance that is not a member although it holds the claim; empty if there is no claim.
  InstanceId absent_owner;
};

// Logs how many parts have an owner whenever that changes, and each part that has had none for
// long. Not thread-safe.
class PartOwnerReport {
 public:
  explicit PartOwnerReport(EventLog* events) : events_(events) {}

  void Record(const std::vector<PartOwnership>& parts, absl::Time now);

 private:
  void RecordLongAbsence(const PartOwnership& part, absl::Time now);

  EventLog* const events_;
  // Numbers of parts with and without an owner that were logged last, and when.
  int64_t owned_ = 0;
  int64_t unowned_ = 0;
  absl::Time recorded_at_ = absl::InfinitePast();
  // When each part that has had no owner for long was logged last.
  std::map<PartName, absl::Time> absences_recorded_at_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_PART_OWNER_REPORT_H_
