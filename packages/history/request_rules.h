#ifndef POMELOTRAY_HISTORY_REQUEST_RULES_H_
#define POMELOTRAY_HISTORY_REQUEST_RULES_H_

#include "history/history_checker.h"
#include "history/history_index.h"

namespace pomelotray {

// Check the rules on request answers and contract revisions; see HistoryChecker.
void CheckAnswers(const HistoryIndex& index, HistoryReport* report);
void CheckRevisions(const HistoryIndex& index, HistoryReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_HISTORY_REQUEST_RULES_H_
