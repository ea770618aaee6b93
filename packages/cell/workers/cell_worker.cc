#include "cell/workers/cell_worker.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelotray {
namespace {

// A start is recent for this time: tasks that crash their workers do so within 0.2 s, and a crash
// is noticed up to 250 ms late.
constexpr absl::Duration kRecentStart = absl::Milliseconds(500);

// Time that a start takes to reach its worker; a round trip between regions takes 16 ms.
constexpr absl::Duration kStartTransitTime = absl::Milliseconds(20);

}  // namespace

bool Attempt::TicketRanOut(absl::Time now) const {
  return ticket_expires <= now + kStartTransitTime;
}

void Attempt::ApplyCheckpoint(const std::string& reported, absl::Time received) {
  if (!reported.empty() && reported != checkpoint) {
    checkpoint = reported;
    checkpoint_received_at = received;
  }
}

bool Attempt::IsSettled(absl::Time now) const {
  return estimate == absl::InfiniteDuration() && phase == AttemptPhase::kRunning && !isolated &&
         now - known_since > kSettleTime;
}

absl::Time Attempt::ExpectedEnd(absl::Time now) const {
  if (estimate == absl::InfiniteDuration()) {
    return absl::InfiniteFuture();
  }
  const bool confirmed =
      confirmed_at != absl::InfiniteFuture() && confirmed_at != absl::InfinitePast();
  if (!confirmed) {
    return now + estimate;
  }
  if (percent > 0) {
    return std::max(now, confirmed_at + (progress_at - confirmed_at) * 100.0 / percent);
  }
  return std::max(now, confirmed_at + estimate);
}

absl::Time CellWorker::ExpectedFree(const Resources& needed, absl::Time now) const {
  std::vector<std::pair<absl::Time, Resources>> ends;
  ends.reserve(attempts.size());
  for (const auto& [key, attempt] : attempts) {
    ends.emplace_back(attempt.ExpectedEnd(now), attempt.reserved);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources free = Free();
  absl::Time at = now;
  for (const auto& [end, reserved] : ends) {
    if (needed.FitsInto(free)) {
      break;
    }
    free += reserved;
    at = end;
  }
  return needed.FitsInto(free) ? at : absl::InfiniteFuture();
}

bool CellWorker::HasRecentStarts(absl::Time now) const {
  return std::any_of(attempts.begin(), attempts.end(), [now](const auto& entry) {
    return now - entry.second.known_since < kRecentStart;
  });
}

absl::Duration CellWorker::WorkAtStake(absl::Time now) const {
  absl::Duration work;
  for (const auto& [key, attempt] : attempts) {
    if (attempt.known_since <= now && !attempt.IsSettled(now)) {
      work += (now - attempt.known_since) * DominantShare(attempt.reserved, description.capacity);
    }
  }
  return work;
}

bool CellWorker::IsOpenToSuspects(absl::Time now) const {
  return std::all_of(attempts.begin(), attempts.end(),
                     [now](const auto& entry) { return entry.second.IsSettled(now); });
}

absl::Time CellWorker::ExpectedOpenToSuspects(absl::Time now) const {
  absl::Time open = now;
  for (const auto& [key, attempt] : attempts) {
    if (!attempt.IsSettled(now)) {
      const absl::Time end = attempt.ExpectedEnd(now);
      // The isolation of a long-running attempt ends by then as well.
      const absl::Time settled = attempt.known_since + kSettleTime;
      open = std::max(open, end < absl::InfiniteFuture() ? end : settled);
    }
  }
  return open;
}

bool CellWorker::HasLabel(const std::string& label) const {
  return label.empty() || std::find(description.labels.begin(), description.labels.end(), label) !=
                              description.labels.end();
}

bool CellWorker::IsDescriptionCurrent() const {
  return description.started_at == absl::InfinitePast() || description.started_at == started_at;
}

bool CellWorker::AcceptsStarts(absl::Time now) const {
  return listed && fenced && on_roster && IsDescriptionCurrent() && !description.draining &&
         unanswered_at < last_report && quarantined_until <= now && !HasUnknownDemand();
}

bool CellWorker::IsLeaving() const {
  return description.draining && fenced && unanswered_at < last_report;
}

size_t CellWorker::OpenStarts() const {
  return static_cast<size_t>(std::count_if(attempts.begin(), attempts.end(), [](const auto& entry) {
    return entry.second.phase == AttemptPhase::kOrdered;
  }));
}

bool CellWorker::HasUnknownDemand() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.unknown_demand; });
}

bool CellWorker::HasServing() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.has_latency_target; });
}

bool CellWorker::HasIsolated() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.isolated; });
}

const JobId* CellWorker::SoleJob() const {
  const JobId* job = nullptr;
  for (const auto& [key, attempt] : attempts) {
    if (!attempt.task.has_value() || (job != nullptr && *job != attempt.task->job)) {
      return nullptr;
    }
    job = &attempt.task->job;
  }
  return job;
}

bool CellWorker::HasBestEffort() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.best_effort; });
}

}  // namespace pomelotray
