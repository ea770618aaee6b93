#include "tests/soak/run_history.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {

void RunHistory::Add(std::string text) { broken_.push_back(std::move(text)); }

void RunHistory::Submitted(const std::string& job, const std::string& payload) {
  absl::MutexLock lock(&mutex_);
  payloads_[job] = payload;
}

void RunHistory::Accepted(const std::string& job) {
  absl::MutexLock lock(&mutex_);
  accepted_.insert(job);
}

void RunHistory::Refused(const std::string& job) {
  absl::MutexLock lock(&mutex_);
  refused_.insert(job);
  if (started_jobs_.count(job) > 0) {
    Add(absl::StrCat("job ", job, " was refused and has run"));
  }
}

void RunHistory::Started(const std::string& worker, const std::string& task, int64_t run,
                         const std::string& payload) {
  absl::MutexLock lock(&mutex_);
  const std::string job = task.substr(0, task.find('.'));
  started_jobs_.insert(job);
  if (refused_.count(job) > 0) {
    Add(absl::StrCat("job ", job, " was refused and runs"));
  }
  const auto submitted = payloads_.find(job);
  if (submitted == payloads_.end() || submitted->second != payload) {
    Add(absl::StrCat(task, " runs with a payload that nobody sent"));
  }
  if (succeeded_.count(task) > 0) {
    Add(absl::StrCat(task, " run ", run, " started after a success was acknowledged"));
  }
  std::set<std::string>& workers = running_[task];
  workers.insert(worker);
  if (workers.size() > 1) {
    Add(absl::StrCat(task, " runs in ", workers.size(), " places"));
  }
}

void RunHistory::Ended(const std::string& worker, const std::string& task, int64_t) {
  absl::MutexLock lock(&mutex_);
  running_[task].erase(worker);
}

void RunHistory::SuccessAcknowledged(const std::string& task) {
  absl::MutexLock lock(&mutex_);
  succeeded_.insert(task);
}

void RunHistory::Broken(const std::string& text) {
  absl::MutexLock lock(&mutex_);
  Add(text);
}

std::vector<std::string> RunHistory::broken() const {
  absl::MutexLock lock(&mutex_);
  return broken_;
}

std::set<std::string> RunHistory::accepted() const {
  absl::MutexLock lock(&mutex_);
  return accepted_;
}

}  // namespace pomelotray
