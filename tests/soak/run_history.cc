#include "tests/soak/run_history.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace pomelotray {
namespace {

// After this many crashes, a task may be started only `kMaxStartsAfterCrashes` more times.
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 2;

// A task may be started for this long after the cancellation of its job was answered.
constexpr absl::Duration kMaxCancelTime = absl::Seconds(3);

constexpr char kLongRunningPayload[] = "long-running payload of ";

}  // namespace

bool IsLongRunning(const std::string& payload) {
  return absl::StartsWith(payload, kLongRunningPayload);
}

std::string LongRunningPayload(const std::string& job) { return kLongRunningPayload + job; }

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

void RunHistory::CancelAcknowledged(const std::string& job) {
  absl::MutexLock lock(&mutex_);
  cancelled_.emplace(job, absl::Now());
}

bool RunHistory::IsCancelled(const std::string& job) const {
  absl::MutexLock lock(&mutex_);
  return cancelled_.count(job) > 0;
}

void RunHistory::Started(const std::string& worker, const std::string& task, int64_t run,
                         const std::string& payload) {
  absl::MutexLock lock(&mutex_);
  const std::string job = task.substr(0, task.find('.'));
  started_jobs_.insert(job);
  if (refused_.count(job) > 0) {
    AddViolationLocked(absl::StrCat("job ", job, " was started although it was refused"));
  }
  const auto cancelled = cancelled_.find(job);
  if (cancelled != cancelled_.end() && absl::Now() > cancelled->second + kMaxCancelTime) {
    AddViolationLocked(absl::StrCat(task, " run ", run, " started ",
                                    absl::FormatDuration(absl::Now() - cancelled->second),
                                    " after the answer to its job's cancellation"));
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
  if (IsLongRunning(payload)) {
    long_running_tasks_.insert(task);
  }
  const auto stopped = stopped_long_running_.find(task);
  if (stopped != stopped_long_running_.end()) {
    long_running_gaps_.push_back(absl::Now() - stopped->second);
    stopped_long_running_.erase(stopped);
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
  if (running_[task].empty() && IsLongRunning(payloads_[task.substr(0, task.find('.'))])) {
    stopped_long_running_[task] = absl::Now();
  }
}

std::vector<StoppedTask> RunHistory::StoppedLongRunningTasks() const {
  absl::MutexLock lock(&mutex_);
  std::vector<StoppedTask> stopped;
  for (const auto& [task, ended] : stopped_long_running_) {
    stopped.push_back(StoppedTask{task, ended});
  }
  return stopped;
}

std::vector<std::string> RunHistory::LongRunningTasks() const {
  absl::MutexLock lock(&mutex_);
  return {long_running_tasks_.begin(), long_running_tasks_.end()};
}

int RunHistory::CountLongRunningTasks() const {
  absl::MutexLock lock(&mutex_);
  return static_cast<int>(long_running_tasks_.size());
}

std::vector<absl::Duration> RunHistory::LongRunningGaps() const {
  absl::MutexLock lock(&mutex_);
  std::vector<absl::Duration> gaps = long_running_gaps_;
  std::sort(gaps.rbegin(), gaps.rend());
  return gaps;
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
