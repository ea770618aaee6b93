#ifndef POMELOTRAY_HISTORY_JOB_RULES_H_
#define POMELOTRAY_HISTORY_JOB_RULES_H_

#include "history/history_checker.h"
#include "history/history_index.h"

namespace pomelotray {

// Check the rules on the job states that callers were told; see HistoryChecker.
void CheckFinalStates(const HistoryIndex& index, bool complete, HistoryReport* report);
void CheckNotRun(const HistoryIndex& index, HistoryReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_JOB_RULES_H_
