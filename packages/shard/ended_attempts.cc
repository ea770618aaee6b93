#include "shard/ended_attempts.h"

#include <iterator>
#include <string>

namespace pomelotray {

void EndedAttempts::Add(const WorkerId& worker, const AttemptId& attempt, uint64_t sequence) {
  attempts_by_worker_[worker].emplace(attempt, sequence);
}

void EndedAttempts::RetainReported(const WorkerId& worker, const std::set<AttemptId>& reported) {
  const auto attempts = attempts_by_worker_.find(worker);
  if (attempts == attempts_by_worker_.end()) {
    return;
  }
  for (auto it = attempts->second.begin(); it != attempts->second.end();) {
    it = reported.count(it->first) > 0 ? std::next(it) : attempts->second.erase(it);
  }
  if (attempts->second.empty()) {
    attempts_by_worker_.erase(attempts);
  }
}

std::vector<AttemptId> EndedAttempts::DurableAttempts(const WorkerId& worker,
                                                      uint64_t durable) const {
  std::vector<AttemptId> attempts;
  const auto ended = attempts_by_worker_.find(worker);
  if (ended != attempts_by_worker_.end()) {
    for (const auto& [attempt, sequence] : ended->second) {
      if (sequence <= durable) {
        attempts.push_back(attempt);
      }
    }
  }
  return attempts;
}

void EndedAttempts::UpdateSequence(const TaskId& task, uint64_t pending, uint64_t sequence) {
  const std::string prefix = task.value() + "#";
  for (auto& [worker, attempts] : attempts_by_worker_) {
    for (auto& [attempt, waiting] : attempts) {
      if (waiting == pending && attempt.value().rfind(prefix, 0) == 0) {
        waiting = sequence;
      }
    }
  }
}

}  // namespace pomelotray
