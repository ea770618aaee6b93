// The part of PoolOwner that prepares a planned handover.

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/ownership/pool_owner.h"
#include "cell/records/cell_keys.h"

namespace pomelotray {
namespace {

// The platform's store accepts values of up to 1 MB.
constexpr size_t kMaxRosterBytes = 900'000;

}  // namespace

void PoolOwner::StopOrders() {
  absl::MutexLock lock(&mutex_);
  finishing_ = true;
}

std::optional<StoreWrite> PoolOwner::PrepareHandover(absl::Time deadline) {
  StopOrders();
  std::vector<RosterEntry> roster;
  {
    absl::MutexLock lock(&mutex_);
    while (!halted_ && scheduler_.HasUnstoredChanges() && context_.clock->Now() < deadline) {
      context_.clock->WaitUntil(&commit_done_, &mutex_, deadline);
    }
    if (!serving_) {
      return std::nullopt;
    }
    roster = scheduler_.BuildHandoverRoster(context_.clock->Now());
  }
  RecordHandover(roster);
  std::string text = EncodeRoster(roster);
  if (text.size() > kMaxRosterBytes) {
    return std::nullopt;
  }
  return StoreWrite{cell_keys::Roster(claim_.part), std::move(text), EntryLifetime::Permanent()};
}

void PoolOwner::RecordHandover(const std::vector<RosterEntry>& roster) const {
  size_t attempts = 0;
  size_t unconfirmed = 0;
  size_t stopping = 0;
  for (const RosterEntry& entry : roster) {
    attempts += entry.attempts.size();
    unconfirmed += entry.unconfirmed.size();
    stopping += entry.stopping.size();
  }
  context_.events->Record(EventCode::kHandoverListed)
      .With("part", claim_.part.value())
      .With("term", claim_.term)
      .With("workers", static_cast<int64_t>(roster.size()))
      .With("attempts", static_cast<int64_t>(attempts))
      .With("unconfirmed", static_cast<int64_t>(unconfirmed))
      .With("stopping", static_cast<int64_t>(stopping))
      .Emit();
}

}  // namespace pomelotray
