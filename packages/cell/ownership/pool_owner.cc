#include "cell/ownership/pool_owner.h"

#include <algorithm>
#include <utility>

#include "cell/records/cell_keys.h"
#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

// Minimum pause between scheduling rounds. One round handles all events that occur within it.
constexpr absl::Duration kMinRoundPause = absl::Milliseconds(8);
// Pause after a round as a multiple of the round's duration. Rounds take longer the more steps are
// waiting; without a pause they would deprive the processing of worker reports of CPU time, and
// waiting steps can only be placed after reports are processed (congestion collapse).
constexpr double kPausePerRoundTime = 3;
// Maximum pause after a round. A round may seem to take seconds if the process was suspended.
constexpr absl::Duration kMaxRoundPause = absl::Milliseconds(100);
// Interval of rounds without an event, which handle due jobs, stalled tasks and expired leases.
constexpr absl::Duration kIdleRoundInterval = absl::Milliseconds(200);
// Ends of tasks within this interval are stored in one transaction.
constexpr absl::Duration kCommitInterval = absl::Milliseconds(25);
constexpr absl::Duration kCommitRetryInterval = absl::Milliseconds(100);
// A draining worker must be noticed within five times this interval.
constexpr absl::Duration kDirectoryInterval = absl::Milliseconds(500);
// Minimum pause between two writes of the roster.
constexpr absl::Duration kMinRosterInterval = absl::Milliseconds(50);
constexpr absl::Duration kLoadRetryInterval = absl::Milliseconds(200);
constexpr absl::Duration kPermissionPollInterval = absl::Milliseconds(50);
// A removed job has at most five keys; one entry of the transaction is the claim's condition.
constexpr size_t kRemovalBatch = (kMaxTransactionEntries - 1) / 5;
// Delay before the finished jobs are loaded, so that the new owner's first task starts come first.
constexpr absl::Duration kFinishedJobsDelay = absl::Seconds(1);

Result<JobStatus> DecodeFinalStatus(const std::string& text) {
  BOOST_LEAF_AUTO(status, DecodeJobStatus(text));
  if (!IsFinal(status.state)) {
    return Fail(ErrorKind::kInternal,
                "The state of a finished job is not final; check which program wrote the entry.");
  }
  return status;
}

}  // namespace

PoolOwner::PoolOwner(PartClaim claim, PoolLimits limits, PoolOwnerContext context)
    : claim_(std::move(claim)),
      claimed_at_(context.clock->Now()),
      part_(PoolPart::Parse(claim_.part).value_or(PoolPart())),
      limits_(limits),
      context_(std::move(context)),
      unreadable_(context_.events),
      scheduler_(part_, claim_.term, limits_, context_.events),
      withdrawal_cleanup_(claim_, context_.store, context_.clock, context_.events,
                          limits_.retention) {}

PoolOwner::~PoolOwner() {
  Halt();
  if (intake_ != nullptr) {
    intake_->Stop();
  }
  for (std::thread& thread : commit_threads_) {
    thread.join();
  }
  for (std::thread* thread : {&schedule_thread_, &directory_thread_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  std::map<WorkerId, std::shared_ptr<WorkerSession>> sessions;
  {
    absl::MutexLock lock(&mutex_);
    sessions.swap(sessions_);
  }
  for (const auto& [id, session] : sessions) {
    session->RequestStop();
    session->WaitUntilUnused();
  }
}

void PoolOwner::Halt() {
  absl::MutexLock lock(&mutex_);
  halted_ = true;
  serving_ = false;
  halted_changed_.SignalAll();
  round_needed_.SignalAll();
  roster_needed_.SignalAll();
  commit_needed_.SignalAll();
  commit_done_.SignalAll();
  for (const auto& [id, session] : sessions_) {
    session->RequestStop();
  }
}

bool PoolOwner::Pause(absl::Duration pause) {
  absl::MutexLock lock(&mutex_);
  const absl::Time end = context_.clock->Now() + pause;
  while (!halted_ && context_.clock->Now() < end) {
    context_.clock->WaitUntil(&halted_changed_, &mutex_, end);
  }
  return !halted_;
}

void PoolOwner::Start() {
  for (;;) {
    const Outcome<void> loaded = Capture([this] { return Load(); });
    if (loaded.ok()) {
      break;
    }
    context_.events->Record(EventCode::kJournalRecovered)
        .With("part", claim_.part.value())
        .With(event_field::kReason, loaded.error().message)
        .Emit();
    if (!Pause(kLoadRetryInterval)) {
      return;
    }
  }
  absl::MutexLock lock(&mutex_);
  if (halted_) {
    return;
  }
  serving_ = true;
  serving_since_ = context_.clock->Now();
  schedule_thread_ = std::thread([this] { ScheduleLoop(); });
  for (size_t stream = 0; stream < kCommitStreams; ++stream) {
    commit_threads_.emplace_back([this, stream] { CommitLoop(stream); });
  }
  directory_thread_ = std::thread([this] { DirectoryLoop(); });
}

void PoolOwner::SetContracts(const std::vector<Contract>& contracts) {
  absl::MutexLock lock(&mutex_);
  scheduler_.SetContracts(contracts);
  Wake();
}

void PoolOwner::Wake() {
  round_requested_ = true;
  ++change_count_;
  round_needed_.Signal();
  commit_needed_.SignalAll();
}

bool PoolOwner::WaitForPermission() {
  while (!context_.membership->ContactedStoreRecently()) {
    if (!Pause(kPermissionPollInterval)) {
      return false;
    }
  }
  absl::MutexLock lock(&mutex_);
  return !halted_ && !finishing_;
}

void PoolOwner::ScheduleLoop() {
  for (;;) {
    {
      absl::MutexLock lock(&mutex_);
      const absl::Time idle_end = context_.clock->Now() + kIdleRoundInterval;
      while (!halted_ && !round_requested_ && context_.clock->Now() < idle_end) {
        context_.clock->WaitUntil(&round_needed_, &mutex_, idle_end);
      }
      if (halted_) {
        return;
      }
      round_requested_ = false;
    }
    if (!WaitForPermission()) {
      return;
    }
    const absl::Time begun = context_.clock->Now();
    RunSchedulingRound();
    const absl::Duration took = context_.clock->Now() - begun;
    if (!Pause(std::clamp(took * kPausePerRoundTime, kMinRoundPause, kMaxRoundPause))) {
      return;
    }
  }
}

void PoolOwner::RunSchedulingRound() {
  ScheduledOrders scheduled;
  {
    absl::MutexLock lock(&mutex_);
    // PrepareHandover() tells the next owner which tasks are running; no task may be started after
    // that.
    if (halted_ || finishing_) {
      return;
    }
    scheduled = scheduler_.Schedule(context_.clock->Now(), context_.membership->MayStartTasks());
    for (auto& [worker, order] : scheduled.orders) {
      const auto session = sessions_.find(worker);
      if (session != sessions_.end()) {
        session->second->Send(std::move(order));
      } else if (order.kind == WorkerOrder::Kind::kStart) {
        scheduler_.StartFinished(worker, order.key, OrderOutcome{std::nullopt, true},
                                 context_.clock->Now());
      }
    }
  }
  // An answer may arrive after this owner was destroyed.
  const std::weak_ptr<PoolOwner> weak = weak_from_this();
  for (AdviceRequest& request : scheduled.advice) {
    context_.advice->Submit(std::move(request), [weak](const AdviceRequest& asked,
                                                       const std::optional<Advice>& advice) {
      const std::shared_ptr<PoolOwner> self = weak.lock();
      if (self != nullptr) {
        self->ApplyAdvice(asked, advice);
      }
    });
  }
}

void PoolOwner::ApplyAdvice(const AdviceRequest& request, const std::optional<Advice>& advice) {
  absl::MutexLock lock(&mutex_);
  scheduler_.AdviceFinished(request, advice, context_.clock->Now());
  Wake();
}

void PoolOwner::CommitLoop(size_t stream) {
  int64_t seen = 0;
  std::vector<ProgressRecord> records;
  for (;;) {
    {
      absl::MutexLock lock(&mutex_);
      while (!halted_ && records.empty() && seen == change_count_) {
        commit_needed_.Wait(&mutex_);
      }
      if (halted_) {
        return;
      }
      seen = change_count_;
    }
    const bool stored = CommitBatch(stream, &records);
    if (!Pause(stored ? kCommitInterval : kCommitRetryInterval)) {
      return;
    }
  }
}

bool PoolOwner::CommitBatch(size_t stream, std::vector<ProgressRecord>* records) {
  if (records->empty()) {
    absl::MutexLock lock(&mutex_);
    *records = scheduler_.TakeChangedRecords(CommitStream::kMaxEntries, stream, kCommitStreams);
  }
  if (records->empty()) {
    return true;
  }
  CommitStream& commit_stream = commit_streams_[stream];
  const CommitOutcome outcome =
      commit_stream.HasPending() ? commit_stream.Resume() : commit_stream.Store(*records);
  if (outcome == CommitOutcome::kStored) {
    absl::MutexLock lock(&mutex_);
    for (const WorkerId& id : scheduler_.MarkCommitted(*records)) {
      const auto session = sessions_.find(id);
      if (session != sessions_.end()) {
        session->second->EndsStored();
      }
    }
    records->clear();
    // More changes of this stream may remain if the batch was full.
    ++change_count_;
    commit_done_.SignalAll();
    return true;
  }
  if (outcome == CommitOutcome::kClaimLost) {
    ReportClaimLost("A write failed because another instance has claimed the part.");
  }
  return false;
}

void PoolOwner::ApplyNewEntry(const std::string& key, const std::string& value) {
  {
    // A delayed notification may concern a job that an earlier owner has finished.
    absl::MutexLock lock(&mutex_);
    if (!finished_jobs_loaded_) {
      return;
    }
  }
  WatchBatch batch;
  batch.changed = {StoreEntry{key, value, Revision(0)}};
  ApplyIntake(batch);
}

void PoolOwner::DirectoryLoop() {
  // Starts the sessions of inherited workers first, so that they report while the directory is
  // read.
  SyncSessions();
  do {
    const Outcome<std::vector<WorkerDescription>> listed =
        Capture([this] { return context_.directory->List(); });
    if (listed.ok()) {
      absl::MutexLock lock(&mutex_);
      scheduler_.UpdateDirectory(listed.value(), context_.clock->Now());
    } else {
      RecordStoreFailure(context_.events, "list of workers", listed.error());
    }
    SyncSessions();
    SyncRosterAndWake();
    LoadFinishedJobs();
    RemoveExpiredJobs();
    withdrawal_cleanup_.Run();
  } while (WaitForDirectoryRound());
}

void PoolOwner::SyncRosterAndWake() {
  if (SyncRoster()) {
    absl::MutexLock lock(&mutex_);
    Wake();
  }
}

bool PoolOwner::WaitForDirectoryRound() {
  const absl::Time end = context_.clock->Now() + kDirectoryInterval;
  while (context_.clock->Now() < end) {
    {
      absl::MutexLock lock(&mutex_);
      while (!halted_ && !roster_requested_ && context_.clock->Now() < end) {
        context_.clock->WaitUntil(&roster_needed_, &mutex_, end);
      }
      if (halted_) {
        return false;
      }
      if (!roster_requested_) {
        return true;
      }
      roster_requested_ = false;
    }
    SyncRosterAndWake();
    if (!Pause(kMinRosterInterval)) {
      return false;
    }
  }
  return true;
}

std::vector<std::shared_ptr<WorkerSession>> PoolOwner::RemoveUnusedSessions() {
  std::vector<std::shared_ptr<WorkerSession>> unused;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (scheduler_.workers().count(it->first) == 0) {
      unused.push_back(std::move(it->second));
      it = sessions_.erase(it);
    } else {
      ++it;
    }
  }
  return unused;
}

void PoolOwner::SyncSessions() {
  std::vector<std::shared_ptr<WorkerSession>> unused;
  {
    absl::MutexLock lock(&mutex_);
    if (halted_) {
      return;
    }
    unused = RemoveUnusedSessions();
    const WorkerSession::Context context = {context_.connector, context_.timers, context_.clock,
                                            this};
    std::vector<WorkerId> moved;
    for (const auto& [id, worker] : scheduler_.workers()) {
      std::shared_ptr<WorkerSession>& session = sessions_[id];
      if (session != nullptr && session->address() != worker.description.address) {
        session->RequestStop();
        unused.push_back(std::move(session));
        session = nullptr;
        moved.push_back(id);
      }
      if (session == nullptr) {
        session = std::make_shared<WorkerSession>(worker.description, context);
        session->Begin();
      }
    }
    for (const WorkerId& id : moved) {
      scheduler_.WorkerMoved(id, context_.clock->Now());
    }
  }
  for (const std::shared_ptr<WorkerSession>& session : unused) {
    session->RequestStop();
    session->WaitUntilUnused();
  }
}

bool PoolOwner::SyncRoster() {
  std::vector<RosterEntry> roster;
  {
    absl::MutexLock lock(&mutex_);
    // Without the store, a worker that answers again could not be listed as such, and its lease
    // would run out.
    if (finishing_ || !context_.membership->IsStoreAvailable()) {
      return false;
    }
    roster = scheduler_.BuildRoster(context_.clock->Now());
  }
  std::vector<WorkerId> open;
  for (const RosterEntry& entry : roster) {
    if (!entry.lease_left.has_value()) {
      open.push_back(entry.worker.id);
    }
  }
  std::string text = EncodeRosterWithoutTimes(roster);
  if (text == stored_roster_) {
    absl::MutexLock lock(&mutex_);
    scheduler_.ConfirmRoster(open);
    return false;
  }
  StoreTransaction transaction = TransactionForClaim(claim_);
  transaction.conditions.push_back(
      StoreCondition{cell_keys::Roster(claim_.part), roster_revision_});
  transaction.writes = {
      StoreWrite{cell_keys::Roster(claim_.part), EncodeRoster(roster), EntryLifetime::Permanent()}};
  const Outcome<Revision> written = Capture([&] { return context_.store->Commit(transaction); });
  if (!written.ok()) {
    RecordStoreFailure(context_.events, "write of the roster", written.error());
    stored_roster_.reset();
    RereadRosterRevision();
    return false;
  }
  roster_revision_ = written.value();
  stored_roster_ = std::move(text);
  absl::MutexLock lock(&mutex_);
  scheduler_.ConfirmRoster(open);
  return true;
}

void PoolOwner::RereadRosterRevision() {
  // The commit streams detect a lost claim.
  const Outcome<std::optional<StoreEntry>> entry =
      Capture([this] { return context_.store->Get(cell_keys::Roster(claim_.part)); });
  if (!entry.ok()) {
    RecordStoreFailure(context_.events, "read of the roster after a failed write", entry.error());
    return;
  }
  roster_revision_ = entry.value().has_value() ? entry.value()->revision : Revision(0);
}

void PoolOwner::LoadFinishedJobs() {
  {
    absl::MutexLock lock(&mutex_);
    if (finished_jobs_loaded_ || context_.clock->Now() - serving_since_ < kFinishedJobsDelay) {
      return;
    }
  }
  const std::string prefix = cell_keys::FinishedPrefix(claim_.part);
  const Outcome<StoreListing> listing = Capture([&] { return context_.store->ListAll(prefix); });
  if (!listing.ok()) {
    RecordStoreFailure(context_.events, "list of finished jobs", listing.error());
    return;
  }
  absl::MutexLock lock(&mutex_);
  for (const StoreEntry& entry : listing.value().entries) {
    const Outcome<JobStatus> status = Capture([&entry] { return DecodeFinalStatus(entry.value); });
    if (!status.ok()) {
      unreadable_.Record(entry, status.error());
    }
    // The key alone shows that the job must not run again, even if its state cannot be decoded.
    scheduler_.AddFinishedJob(
        JobId(entry.key.substr(prefix.size())),
        status.ok() ? status.value() : JobStatus{CellJobState::kCompleted, CustomerId()},
        context_.clock->Now());
  }
  finished_jobs_loaded_ = true;
}

void PoolOwner::RemoveExpiredJobs() {
  std::vector<JobId> expired;
  {
    absl::MutexLock lock(&mutex_);
    expired = scheduler_.TakeExpiredJobs(context_.clock->Now(), kRemovalBatch);
  }
  if (expired.empty()) {
    return;
  }
  StoreTransaction transaction = TransactionForClaim(claim_);
  for (const JobId& id : expired) {
    transaction.removals.push_back(cell_keys::Job(claim_.part, id));
    transaction.removals.push_back(cell_keys::Cancel(claim_.part, id));
    transaction.removals.push_back(cell_keys::Progress(claim_.part, id));
    transaction.removals.push_back(cell_keys::Finished(claim_.part, id));
    transaction.removals.push_back(cell_keys::JobIdEntry(id));
  }
  // If this fails, a later owner removes the entries.
  const Outcome<Revision> written = Capture([&] { return context_.store->Commit(transaction); });
  if (!written.ok()) {
    RecordStoreFailure(context_.events, "removal of finished jobs", written.error());
  }
}

void PoolOwner::ReportClaimLost(const char* reason) {
  {
    absl::MutexLock lock(&mutex_);
    if (claim_lost_ || halted_) {
      return;
    }
    claim_lost_ = true;
  }
  context_.events->Record(EventCode::kShardDeposed)
      .With("part", claim_.part.value())
      .With("term", claim_.term)
      .With(event_field::kReason, reason)
      .Emit();
  context_.claim_lost(claim_.part);
}

std::optional<CellJobState> PoolOwner::StateOf(const JobId& id) const {
  const std::optional<JobStatus> status = StatusOf(id);
  return status.has_value() ? std::optional<CellJobState>(status->state) : std::nullopt;
}

std::optional<JobStatus> PoolOwner::StatusOf(const JobId& id) const {
  absl::MutexLock lock(&mutex_);
  return serving_ ? scheduler_.VisibleStatus(id) : std::nullopt;
}

bool PoolOwner::IsServing() const {
  absl::MutexLock lock(&mutex_);
  return serving_;
}

std::map<std::string, int64_t> PoolOwner::PendingByQueue() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_.PendingByQueue();
}

}  // namespace pomelotray
