#ifndef POMELOTRAY_CELL_OWNERSHIP_CAP_USAGE_LOG_H_
#define POMELOTRAY_CELL_OWNERSHIP_CAP_USAGE_LOG_H_

#include <map>

#include "absl/time/time.h"
#include "base/event_log.h"
#include "customers/cap_ledger.h"

namespace pomelotray {

// Logs which customers are at their caps: when that begins and ends, and every few seconds
// meanwhile. Used by one thread at a time.
class CapUsageLog {
 public:
  explicit CapUsageLog(EventLog* events) : events_(events) {}

  void Record(const std::map<CustomerId, CapLedger::CustomerTotal>& totals, absl::Time now);
  // Called when this instance is not the coordinator any more.
  void End();

 private:
  struct AtCap {
    absl::Time last_seen;
    absl::Time recorded_at = absl::InfinitePast();
  };

  void Emit(const CustomerId& customer, const CapLedger::CustomerTotal& total, bool at_cap);

  EventLog* const events_;
  std::map<CustomerId, AtCap> at_cap_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_CAP_USAGE_LOG_H_
