// The part of PoolOwner that reads from the store: the state that earlier owners left, then new
// jobs and cancellations.

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "base/start_thread.h"
#include "cell/ownership/pool_owner.h"
#include "cell/records/cell_keys.h"

namespace pomelotray {
namespace {

std::string IdFromKey(const std::string& key, const std::string& prefix) {
  return key.substr(prefix.size());
}

}  // namespace

PoolOwner::StoredState PoolOwner::ReadStoredState() const {
  StoredState state;
  TransactionalStore* const store = context_.store;
  const PartName& part = claim_.part;
  const std::vector<std::function<void()>> reads = {
      [&] {
        state.progress = Capture([&] { return store->ListAll(cell_keys::ProgressPrefix(part)); });
      },
      [&] {
        state.intake = Capture([&] { return store->ListAll(cell_keys::IntakePrefix(part)); });
      },
      [&] { state.streams = Capture([&] { return store->ListAll(CommitStream::Prefix(part)); }); },
      [&] { state.roster = Capture([&] { return store->Get(cell_keys::Roster(part)); }); }};
  // The reads run in parallel, since a takeover would otherwise wait for each in turn.
  std::vector<std::thread> threads;
  for (const std::function<void()>& read : reads) {
    Outcome<std::thread> thread = Capture([&read] { return StartThread(read); });
    if (thread.ok()) {
      threads.push_back(std::move(thread.value()));
    } else {
      read();
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return state;
}

void PoolOwner::CreateCommitStreams(const StoreListing& listing) {
  commit_streams_.clear();
  for (size_t stream = 0; stream < kCommitStreams; ++stream) {
    const std::string key = CommitStream::Key(claim_.part, static_cast<int>(stream));
    std::optional<StoreEntry> present;
    for (const StoreEntry& entry : listing.entries) {
      if (entry.key == key) {
        present = entry;
      }
    }
    commit_streams_.emplace_back(context_.store, claim_, static_cast<int>(stream), present);
  }
}

Result<void> PoolOwner::Load() {
  const StoredState state = ReadStoredState();
  BOOST_LEAF_AUTO(roster_entry, state.roster.ToResult());
  BOOST_LEAF_AUTO(progress_listing, state.progress.ToResult());
  BOOST_LEAF_AUTO(intake, state.intake.ToResult());
  BOOST_LEAF_AUTO(stream_listing, state.streams.ToResult());
  CreateCommitStreams(stream_listing);
  const std::string progress_prefix = cell_keys::ProgressPrefix(claim_.part);
  std::optional<std::vector<RosterEntry>> roster = std::vector<RosterEntry>();
  if (roster_entry.has_value()) {
    roster_revision_ = roster_entry->revision;
    roster = ReadRoster(*roster_entry);
  }
  std::map<JobId, std::string> progress;
  for (StoreEntry& entry : progress_listing.entries) {
    progress.emplace(JobId(IdFromKey(entry.key, progress_prefix)), std::move(entry.value));
  }
  const std::string job_prefix = cell_keys::JobPrefix(claim_.part);
  const std::string cancel_prefix = cell_keys::CancelPrefix(claim_.part);
  std::vector<JobIntake> jobs;
  std::vector<JobId> cancelled;
  for (const StoreEntry& entry : intake.entries) {
    if (absl::StartsWith(entry.key, cancel_prefix)) {
      cancelled.emplace_back(IdFromKey(entry.key, cancel_prefix));
    } else if (absl::StartsWith(entry.key, job_prefix)) {
      const JobId id(IdFromKey(entry.key, job_prefix));
      const auto record = progress.find(id);
      Outcome<JobIntake> job = Capture([&]() -> Result<JobIntake> {
        if (record == progress.end()) {
          return DecodeIntake(id, entry.value);
        }
        if (record->second.empty()) {
          return Fail(ErrorKind::kInternal,
                      "The stored progress is empty; check which program wrote it.");
        }
        return DecodeInheritedIntake(id, entry.value, record->second);
      });
      if (job.ok()) {
        jobs.push_back(std::move(job.value()));
      } else {
        unreadable_.Record(entry, job.error());
      }
    }
  }
  const absl::Time now = context_.clock->Now();
  context_.events->Record(EventCode::kJournalRecovered)
      .With("part", claim_.part.value())
      .With("term", claim_.term)
      .With("jobs", static_cast<int64_t>(jobs.size()))
      .With("roster", static_cast<int64_t>(roster.has_value() ? roster->size() : 0))
      .Emit();
  absl::MutexLock lock(&mutex_);
  scheduler_.LoadInheritedState(std::move(jobs), progress, roster,
                                InheritedTimes{now, claimed_at_, RosterWrittenBy(now)});
  for (const JobId& id : cancelled) {
    scheduler_.CancelJob(id, now);
  }
  ++change_count_;
  intake_ = std::make_unique<PrefixWatcher>(
      context_.store, cell_keys::IntakePrefix(claim_.part), context_.clock, context_.events,
      [this](const WatchBatch& batch, bool) { ApplyIntake(batch); });
  intake_->Start(intake.as_of);
  return {};
}

absl::Time PoolOwner::RosterWrittenBy(absl::Time now) const {
  return context_.revisions == nullptr
             ? now
             : std::min(now, context_.revisions->ReachedBy(roster_revision_));
}

std::optional<std::vector<RosterEntry>> PoolOwner::ReadRoster(const StoreEntry& entry) {
  Outcome<std::vector<RosterEntry>> roster = Capture([&] { return DecodeRoster(entry.value); });
  if (!roster.ok()) {
    unreadable_.Record(entry, roster.error());
    return std::nullopt;
  }
  return std::move(roster.value());
}

bool PoolOwner::IsKnown(const JobId& id) const {
  absl::MutexLock lock(&mutex_);
  return scheduler_.jobs().count(id) > 0;
}

void PoolOwner::ApplyIntake(const WatchBatch& batch) {
  const std::string job_prefix = cell_keys::JobPrefix(claim_.part);
  const std::string cancel_prefix = cell_keys::CancelPrefix(claim_.part);
  std::vector<JobIntake> jobs;
  for (const StoreEntry& entry : batch.changed) {
    // The watch reports jobs again that ApplyNewEntry() has already delivered.
    if (!absl::StartsWith(entry.key, job_prefix) ||
        IsKnown(JobId(IdFromKey(entry.key, job_prefix)))) {
      continue;
    }
    Outcome<JobIntake> job =
        Capture([&] { return DecodeIntake(JobId(IdFromKey(entry.key, job_prefix)), entry.value); });
    if (job.ok()) {
      jobs.push_back(std::move(job.value()));
    } else {
      unreadable_.Record(entry, job.error());
    }
  }
  absl::MutexLock lock(&mutex_);
  const absl::Time now = context_.clock->Now();
  for (JobIntake& job : jobs) {
    scheduler_.AddJob(std::move(job), now);
  }
  for (const StoreEntry& entry : batch.changed) {
    if (absl::StartsWith(entry.key, cancel_prefix)) {
      scheduler_.CancelJob(JobId(IdFromKey(entry.key, cancel_prefix)), now);
    }
  }
  Wake();
}

}  // namespace pomelotray
