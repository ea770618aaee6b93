#include "cell/worker_book.h"

#include <algorithm>

namespace pomelotray {

bool CellWorker::HasLabel(const std::string& label) const {
  return label.empty() ||
         std::find(description.labels.begin(), description.labels.end(), label) !=
             description.labels.end();
}

bool CellWorker::AcceptsStarts(absl::Time now) const {
  return listed && fenced && on_roster && !description.draining && suspect_since < last_report &&
         quarantined_until <= now;
}

}  // namespace pomelotray
