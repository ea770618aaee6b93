#include "standins/worker_group.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

WorkerGroup::WorkerGroup(const WorkerOptions& options, int64_t count, const Clock* clock,
                         EventLog* events) {
  for (int64_t number = 1; number <= count; ++number) {
    WorkerOptions worker = options;
    worker.id = WorkerId(absl::StrCat(options.id.value(), "-", number));
    worker.boot = BootId(absl::StrCat(options.boot.value(), "-", number));
    ids_.push_back(worker.id);
    workers_.push_back(std::make_unique<WorkerStandin>(worker, clock, events));
  }
}

bool WorkerGroup::Start(int port) {
  for (const std::unique_ptr<WorkerStandin>& worker : workers_) {
    if (!worker->Start(port)) {
      return false;
    }
    port += port == 0 ? 0 : 1;
  }
  return true;
}

void WorkerGroup::Stop() {
  for (const std::unique_ptr<WorkerStandin>& worker : workers_) {
    worker->Stop();
  }
}

nlohmann::json WorkerGroup::Rows() const {
  nlohmann::json rows = nlohmann::json::array();
  for (size_t i = 0; i < workers_.size(); ++i) {
    rows.push_back({{"id", ids_[i].value()}, {"address", workers_[i]->address()}});
  }
  return rows;
}

}  // namespace pomelotray
