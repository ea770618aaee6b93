#include "cell/worker_book.h"

#include <algorithm>

namespace pomelotray {

bool CellWorker::HasLabel(const std::string& label) const {
  return label.empty() || std::find(description.labels.begin(), description.labels.end(), label) !=
                              description.labels.end();
}

bool CellWorker::AcceptsStarts(absl::Time now) const {
  return listed && fenced && on_roster && !description.draining && suspect_since < last_report &&
         quarantined_until <= now && !HasUnknownLoad();
}

bool CellWorker::HasUnknownLoad() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.unknown_load; });
}

bool CellWorker::HasServing() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.serves; });
}

bool CellWorker::HasFilling() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.fills; });
}

}  // namespace pomelotray
