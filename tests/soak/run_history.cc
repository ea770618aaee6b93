#include "tests/soak/run_history.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// After this many crashes, a task may be started only `kMaxStartsAfterCrashes` more times.
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 2;

}  // namespace

void RunHistory::AddViolationLocked(std::string text) { violations_.push_back(std::move(text)); }

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
    AddViolationLocked(absl::StrCat("job ", job, " was refused although it had already run"));
  }
}

void RunHistory::Started(const std::string& worker, const std::string& task, int64_t run,
                         const std::string& payload) {
  absl::MutexLock lock(&mutex_);
  const std::string job = task.substr(0, task.find('.'));
  started_jobs_.insert(job);
  if (refused_.count(job) > 0) {
    AddViolationLocked(absl::StrCat("job ", job, " was started although it was refused"));
  }
  const auto submitted = payloads_.find(job);
  if (submitted == payloads_.end() || submitted->second != payload) {
    AddViolationLocked(
        absl::StrCat(task, " was started with a payload other than the submitted one"));
  }
  if (succeeded_.count(task) > 0) {
    AddViolationLocked(
        absl::StrCat(task, " run ", run, " started after a success was acknowledged"));
  }
  if (crashes_[task] >= kMaxCrashes && ++starts_since_third_crash_[task] > kMaxStartsAfterCrashes) {
    AddViolationLocked(
        absl::StrCat(task, " run ", run, " started after ", crashes_[task], " crashes"));
  }
  std::set<std::string>& workers = running_[task];
  workers.insert(worker);
  if (workers.size() > 1) {
    AddViolationLocked(
        absl::StrCat(task, " runs on ", workers.size(), " workers at the same time"));
  }
}

void RunHistory::Ended(const std::string& worker, const std::string& task, int64_t) {
  absl::MutexLock lock(&mutex_);
  running_[task].erase(worker);
}

void RunHistory::CrashedBy(const std::string& task) {
  absl::MutexLock lock(&mutex_);
  ++crashes_[task];
}

void RunHistory::SuccessAcknowledged(const std::string& task) {
  absl::MutexLock lock(&mutex_);
  succeeded_.insert(task);
}

void RunHistory::GangIncomplete(const std::string& task, int64_t run) {
  absl::MutexLock lock(&mutex_);
  incomplete_gangs_.push_back(absl::StrCat(task, "#", run));
}

std::vector<std::string> RunHistory::incomplete_gangs() const {
  absl::MutexLock lock(&mutex_);
  return incomplete_gangs_;
}

void RunHistory::AddViolation(const std::string& text) {
  absl::MutexLock lock(&mutex_);
  AddViolationLocked(text);
}

std::vector<std::string> RunHistory::violations() const {
  absl::MutexLock lock(&mutex_);
  return violations_;
}

std::set<std::string> RunHistory::accepted() const {
  absl::MutexLock lock(&mutex_);
  return accepted_;
}

}  // namespace pomelotray
