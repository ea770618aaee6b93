#ifndef POMELOTRAY_HISTORY_TASK_RULES_H_
#define POMELOTRAY_HISTORY_TASK_RULES_H_

#include <vector>

#include "absl/time/time.h"
#include "history/history_checker.h"
#include "history/history_index.h"

namespace pomelotray {

// Check the rules on where and when tasks and requests ran; see HistoryChecker.
void CheckStartedTwice(const HistoryIndex& index, HistoryReport* report);
void CheckTwoPlaces(const HistoryIndex& index, HistoryReport* report);
void CheckCapacity(const HistoryIndex& index, HistoryReport* report);
void CheckCaps(const HistoryIndex& index, const std::vector<CapInForce>& caps,
               absl::Duration settling_time, HistoryReport* report);
void CheckLeaving(const HistoryIndex& index, absl::Duration grace, HistoryReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_TASK_RULES_H_
