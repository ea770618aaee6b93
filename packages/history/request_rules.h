#ifndef POMELOTRAY_HISTORY_REQUEST_RULES_H_
#define POMELOTRAY_HISTORY_REQUEST_RULES_H_

#include "history/history_checker.h"
#include "history/history_index.h"

namespace pomelotray {

// Rules on answers and configuration; HistoryChecker documents them.
void CheckAnswers(const HistoryIndex& index, HistoryReport* report);
void CheckRevisions(const HistoryIndex& index, HistoryReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_REQUEST_RULES_H_
