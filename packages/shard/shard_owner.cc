#include "shard/shard_owner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "scheduler/shard_scheduler_builder.h"
#include "shard/submission.h"

namespace pomelotray {
namespace {

// Longest time between two scheduling rounds. A change of a job or worker starts a round at once.
constexpr absl::Duration kRoundInterval = absl::Milliseconds(50);
constexpr absl::Duration kDemandReportInterval = absl::Milliseconds(500);
constexpr int kMaxPlacementsPerRound = 512;
constexpr absl::Duration kFlushTimeout = absl::Seconds(2);

WorkerLinkOptions LinkOptions(const ShardOwnerOptions& options) {
  WorkerLinkOptions link;
  link.owner = options.self;
  link.epoch = options.epoch;
  link.heartbeat_interval = options.heartbeat_interval;
  link.task_lease = options.task_lease;
  link.command_validity = options.command_validity;
  return link;
}

}  // namespace

ShardOwner::ShardOwner(const ShardOwnerContext& context, const ShardOwnerOptions& options,
                       std::unique_ptr<Journal> journal)
    : context_(context),
      options_(options),
      journal_(std::move(journal)),
      worker_table_(options.task_lease * (1 + kMaxClockDrift)),
      scheduler_(ShardSchedulerBuilder()
                     .SetClock(context.clock)
                     .SetLimits(context.limits)
                     .SetSeed(static_cast<uint64_t>(options.epoch.term))
                     .Build()),
      limiter_(context.clock, static_cast<uint64_t>(options.epoch.term)),
      lifecycle_(TaskLifecycle::Context{context.clock, context.events, journal_.get(),
                                        scheduler_.get(), this, &jobs_}),
      reader_(JobReader::Context{options.shard, &jobs_, &worker_table_, scheduler_.get(),
                                 journal_.get(), &tasks_awaiting_store_, &takeover_complete_}),
      links_(context.workers, context.clock, this, LinkOptions(options)),
      intents_(journal_.get(), context.clock,
               [this](const WorkerId& worker, const TaskStart& start) {
                 OnIntentDurable(worker, start);
               }) {}

ShardOwner::~ShardOwner() { Stop(); }

Result<void> ShardOwner::Start() {
  BOOST_LEAF_AUTO(records, journal_->Recover());
  absl::MutexLock lock(&mutex_);
  for (JobRecord& record : records) {
    for (const TaskStatus& task : record.tasks) {
      if (!IsFinal(record.state) && !task.worker.empty()) {
        worker_table_.AddFromJournal(task.worker, context_.clock->Now());
      }
    }
    lifecycle_.AddInherited(std::move(record));
  }
  running_ = true;
  intents_.Start();
  thread_ = std::thread(&ShardOwner::Run, this);
  return {};
}

void ShardOwner::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    Wake();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  intents_.Stop();
  links_.Stop();
  uint64_t last_sequence = 0;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [id, job] : jobs_.jobs()) {
      if (job->last_sequence != kNotJournalled) {
        last_sequence = std::max({last_sequence, job->last_sequence, job->accepted_sequence});
      }
    }
  }
  if (last_sequence > 0) {
    (void)journal_->AwaitDurable(last_sequence, context_.clock->Now() + kFlushTimeout);
  }
  journal_->Stop();
}

Result<JobRecord> ShardOwner::Submit(const JobSpec& spec) {
  const JobId id = MakeJobId(options_.shard, spec.customer, spec.key);
  uint64_t sequence = 0;
  bool submitter = false;
  {
    absl::MutexLock lock(&mutex_);
    if (!running_ || stopping_) {
      return Fail(ErrorKind::kOwnerUnavailable,
                  absl::StrCat("Shard ", options_.shard.ToString(),
                               " is changing its owner; the job was not run. Submit it again."),
                  absl::Seconds(1));
    }
    const TrackedJob* job = jobs_.Find(id);
    if (job != nullptr && !IsSameSubmission(job->record.spec, spec)) {
      return Fail(
          ErrorKind::kIdempotencyMismatch,
          absl::StrCat("Idempotency key ", spec.key.value(),
                       " has already been used for a different job; use a new key for a new job."));
    }
    if (job != nullptr && job->accepted) {
      return VisibleRecord(*job);
    }
    if (job == nullptr) {
      BOOST_LEAF_CHECK(CheckSubmission(spec));
      JobRecord record = NewJobRecord(options_.shard, spec, context_.clock->Now());
      sequence = journal_->Append(JobUpsert{record});
      TrackedJob* const inserted = jobs_.Insert(std::move(record));
      inserted->accepted_sequence = sequence;
      pending_jobs_.insert(id);
      submitter = true;
    } else {
      sequence = job->accepted_sequence;
    }
  }
  return AwaitAcceptance(id, sequence, submitter);
}

Result<void> ShardOwner::CheckSubmission(const JobSpec& spec) {
  if (journal_->IsFull() || !context_.store_available()) {
    return Fail(StoreUnavailableError());
  }
  const SliceLimits limits = context_.limits->Limits(spec.customer);
  if (jobs_.UnfinishedJobCount(spec.customer) >= limits.max_jobs) {
    return Fail(
        ErrorKind::kOverLimit,
        absl::StrCat("Customer ", spec.customer.value(), " has reached its limit of ",
                     limits.max_jobs,
                     " unfinished jobs in this shard, the shard's share of its contract; wait "
                     "for a job to finish."),
        absl::Seconds(2));
  }
  limiter_.SetLimit(spec.customer, limits.rate_per_second, limits.burst);
  BOOST_LEAF_CHECK(limiter_.Admit(spec.customer));
  if (!worker_table_.entries().empty()) {
    BOOST_LEAF_CHECK(scheduler_->CheckPlaceable(spec));
  }
  return scheduler_->Admit(spec);
}

Result<JobRecord> ShardOwner::AwaitAcceptance(const JobId& job, uint64_t sequence, bool submitter) {
  const Outcome<void> durable =
      journal_->AwaitDurable(sequence, context_.clock->Now() + options_.commit_timeout);
  absl::MutexLock lock(&mutex_);
  TrackedJob* const tracked = jobs_.Find(job);
  if (tracked == nullptr) {
    return Fail(StoreUnavailableError());
  }
  if (durable.ok()) {
    AcceptDurableJobs();
    return VisibleRecord(*tracked);
  }
  // After kFenced the new owner may have read the record, so the job is refused only if its record
  // can never be written.
  const bool refused = submitter && (sequence == kRefusedRecord || journal_->Withdraw(sequence));
  if (refused) {
    pending_jobs_.erase(job);
    jobs_.Remove(job);
    context_.events->Record(EventCode::kJobRefused).Job(job).Emit();
    return Fail(StoreUnavailableError());
  }
  return Fail(ErrorKind::kOutcomeUnknown,
              absl::StrCat("It is not known yet whether job ", job.value(),
                           " was accepted; submit it again with the same idempotency key."),
              kStoreRetryAfter);
}

Result<JobRecord> ShardOwner::GetJob(const JobId& job) {
  absl::MutexLock lock(&mutex_);
  TrackedJob* const tracked = jobs_.Find(job);
  if (tracked == nullptr || !tracked->accepted) {
    return Fail(ErrorKind::kNotFound,
                absl::StrCat("Job ", job.value(),
                             " does not exist or its retention time has passed; check the id."));
  }
  return VisibleRecord(*tracked);
}

Result<JobRecord> ShardOwner::CancelJob(const JobId& job) {
  uint64_t sequence = 0;
  {
    absl::MutexLock lock(&mutex_);
    TrackedJob* const tracked = jobs_.Find(job);
    if (tracked == nullptr || !tracked->accepted) {
      return Fail(ErrorKind::kNotFound,
                  absl::StrCat("Job ", job.value(), " does not exist; check the id."));
    }
    lifecycle_.Cancel(tracked);
    sequence = tracked->last_sequence;
    Wake();
  }
  const Outcome<void> durable =
      journal_->AwaitDurable(sequence, context_.clock->Now() + options_.commit_timeout);
  if (!durable.ok()) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat(
                    "The cancellation of job ", job.value(),
                    " has not been stored durably yet; query the job's status or cancel it again."),
                kStoreRetryAfter);
  }
  return GetJob(job);
}

Result<JobRecord> ShardOwner::WaitForJob(const JobId& job, absl::Duration timeout) {
  const absl::Time deadline = context_.clock->Now() + timeout;
  while (true) {
    BOOST_LEAF_AUTO(record, GetJob(job));
    const absl::Time now = context_.clock->Now();
    if (IsFinal(record.state) || now >= deadline) {
      return record;
    }
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return record;
    }
    context_.clock->WaitUntil(&changed_, &mutex_, std::min(deadline, now + kRoundInterval));
  }
}

std::vector<JobRecord> ShardOwner::ListJobs(const std::optional<CustomerId>& customer) {
  absl::MutexLock lock(&mutex_);
  return reader_.UnfinishedJobs(customer);
}

std::vector<WorkerStatus> ShardOwner::ListWorkers() {
  absl::MutexLock lock(&mutex_);
  return reader_.Workers();
}

void ShardOwner::UpdateWorkers(const std::vector<VmEntry>& vms) {
  absl::MutexLock lock(&mutex_);
  if (!running_ || stopping_) {
    return;
  }
  for (const VmEntry& vm : worker_table_.Update(vms, context_.clock->Now())) {
    scheduler_->UpsertWorker({vm.id, vm.rack, vm.capacity});
    scheduler_->SetAvailable(vm.id, false);
    links_.Add(vm);
  }
  for (const auto& [id, entry] : worker_table_.entries()) {
    UpdateWorkerAvailability(id);
  }
}

void ShardOwner::SetDrained(const std::set<VmId>& drained) {
  absl::MutexLock lock(&mutex_);
  worker_table_.SetDrained(drained);
  for (const auto& [id, entry] : worker_table_.entries()) {
    UpdateWorkerAvailability(id);
  }
}

bool ShardOwner::deposed() const {
  absl::MutexLock lock(&mutex_);
  return fenced_by_worker_ || journal_->deposed();
}

bool ShardOwner::ConfirmOwnership(absl::Time since) {
  absl::MutexLock lock(&claim_mutex_);
  if (claim_confirmed_at_ >= since) {
    return true;
  }
  const absl::Time began = context_.clock->Now();
  if (!context_.claim_is_current()) {
    return false;
  }
  claim_confirmed_at_ = began;
  return true;
}

void ShardOwner::OnFenced(const WorkerId& worker, const WorkerInventory& inventory) {
  context_.events->Record(EventCode::kWorkerFenced)
      .Worker(worker)
      .Shard(options_.shard)
      .At(options_.epoch)
      .With(event_field::kBoot, inventory.boot.value())
      .Emit();
  absl::MutexLock lock(&mutex_);
  worker_table_.RecordFenced(worker, inventory);
  lifecycle_.Reconcile(worker, inventory, /*after_fence=*/true);
  UpdateWorkerAvailability(worker);
  Wake();
}

void ShardOwner::OnInventory(const WorkerId& worker, const WorkerInventory& inventory) {
  absl::MutexLock lock(&mutex_);
  worker_table_.RecordAnswer(worker, inventory);
  lifecycle_.Reconcile(worker, inventory, /*after_fence=*/false);
  UpdateWorkerAvailability(worker);
  Wake();
}

void ShardOwner::OnStartOutcome(const WorkerId& worker, const TaskStart& start,
                                StartOutcome outcome) {
  absl::MutexLock lock(&mutex_);
  if (outcome == StartOutcome::kStarted) {
    lifecycle_.HandleStartConfirmed(start);
  } else {
    // The worker gets no further start before its next heartbeat response.
    worker_table_.RecordStartRejected(worker);
    lifecycle_.HandleStartFailed(start);
  }
  UpdateWorkerAvailability(worker);
  Wake();
}

void ShardOwner::OnUnreachable(const WorkerId& worker) {
  context_.events->Record(EventCode::kWorkerUnreachable)
      .Worker(worker)
      .Shard(options_.shard)
      .Emit();
  absl::MutexLock lock(&mutex_);
  worker_table_.RecordUnreachable(worker);
  UpdateWorkerAvailability(worker);
}

void ShardOwner::OnLeasesExpired(const WorkerId& worker) {
  absl::MutexLock lock(&mutex_);
  lifecycle_.HandleLeaseExpiry(worker);
  Wake();
}

void ShardOwner::OnDeposed() {
  absl::MutexLock lock(&mutex_);
  fenced_by_worker_ = true;
}

HeartbeatPlan ShardOwner::PlanHeartbeat(const WorkerId& worker) {
  absl::MutexLock lock(&mutex_);
  return lifecycle_.PlanHeartbeat(worker);
}

void ShardOwner::SendStart(const WorkerId& worker, const TaskStart& start) {
  QueueStart(worker, start);
}

void ShardOwner::SendStartWhenDurable(const WorkerId& worker, const TaskStart& start,
                                      uint64_t sequence) {
  intents_.Queue(worker, start, sequence);
}

void ShardOwner::SendStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode) {
  links_.QueueStop(worker, attempt, mode);
}

void ShardOwner::OnIntentDurable(const WorkerId& worker, const TaskStart& start) {
  context_.events->Record(EventCode::kTaskIntent)
      .Job(start.job)
      .Task(start.task)
      .Attempt(start.attempt)
      .Worker(worker)
      .Emit();
  absl::MutexLock lock(&mutex_);
  QueueStart(worker, start);
}

void ShardOwner::QueueStart(const WorkerId& worker, const TaskStart& start) {
  const TrackedJob* const job = jobs_.Find(start.job);
  if (job == nullptr || job->cancel_requested || job->gang_restarting ||
      !links_.QueueStart(worker, start)) {
    // The start has not been sent to the worker, so the attempt cannot run.
    lifecycle_.HandleStartFailed(start);
    return;
  }
  context_.events->Record(EventCode::kTaskStartSent)
      .Job(start.job)
      .Task(start.task)
      .Attempt(start.attempt)
      .Worker(worker)
      .At(options_.epoch)
      .Emit();
  if (scheduler_->IsQuarantined(worker)) {
    context_.events->Record(EventCode::kWorkerProbed).Worker(worker).Task(start.task).Emit();
  }
}

void ShardOwner::UpdateWorkerAvailability(const WorkerId& worker) {
  const WorkerTableEntry* const entry = worker_table_.Find(worker);
  if (entry != nullptr) {
    scheduler_->SetAvailable(worker, entry->Usable());
  }
}

void ShardOwner::Run() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      const absl::Time deadline = context_.clock->Now() + kRoundInterval;
      while (!stopping_ && !work_pending_) {
        if (context_.clock->WaitUntil(&changed_, &mutex_, deadline)) {
          break;
        }
      }
      if (stopping_) {
        return;
      }
      work_pending_ = false;
    }
    RunRound();
    links_.JoinRetired();
  }
}

void ShardOwner::RunRound() {
  absl::MutexLock lock(&mutex_);
  if (fenced_by_worker_ || journal_->deposed()) {
    return;
  }
  AcceptDurableJobs();
  RecordDurableEnds();
  if (!journal_->IsFull()) {
    lifecycle_.RetryJournal();
  }
  RemoveGoneWorkers();
  CompleteTakeover();
  UpdateStoreAvailability();
  for (const JobId& id : scheduler_->ExpiredJobs(context_.clock->Now())) {
    TrackedJob* const job = jobs_.Find(id);
    if (job != nullptr && !lifecycle_.MayHaveUnrecordedAttempt(*job)) {
      lifecycle_.Expire(job);
    }
  }
  ApplyRound(scheduler_->Schedule(kMaxPlacementsPerRound));
  if (context_.clock->Now() >= next_demand_report_) {
    next_demand_report_ = context_.clock->Now() + kDemandReportInterval;
    ReportDemand();
    PurgeOldJobs();
  }
  changed_.SignalAll();
}

void ShardOwner::AcceptDurableJobs() {
  const uint64_t durable = journal_->durable_sequence();
  for (auto it = pending_jobs_.begin(); it != pending_jobs_.end();) {
    TrackedJob* const job = jobs_.Find(*it);
    if (job != nullptr && job->accepted_sequence > durable) {
      ++it;
      continue;
    }
    if (job != nullptr) {
      lifecycle_.Accept(job);
      work_pending_ = true;
    }
    it = pending_jobs_.erase(it);
  }
}

JobRecord ShardOwner::VisibleRecord(const TrackedJob& job) {
  // The event of a job's end must be recorded before a caller can see the final state.
  RecordDurableEnds();
  return reader_.VisibleRecord(job);
}

void ShardOwner::RecordDurableEnds() {
  const uint64_t durable = journal_->durable_sequence();
  std::set<JobId>* const ended = lifecycle_.ended_jobs();
  for (auto it = ended->begin(); it != ended->end();) {
    const TrackedJob* const job = jobs_.Find(*it);
    if (job != nullptr && job->last_sequence > durable) {
      ++it;
      continue;
    }
    if (job != nullptr) {
      lifecycle_.RecordJobEnd(*job);
    }
    it = ended->erase(it);
  }
}

void ShardOwner::CompleteTakeover() {
  if (!takeover_complete_ && worker_table_.AllFenced()) {
    takeover_complete_ = true;
    lifecycle_.ReleaseInherited();
  }
}

void ShardOwner::RemoveGoneWorkers() {
  for (const WorkerId& worker : worker_table_.RemoveMissing(context_.clock->Now())) {
    context_.events->Record(EventCode::kWorkerGone).Worker(worker).Shard(options_.shard).Emit();
    lifecycle_.HandleWorkerLost(worker, "The worker is unreachable and no longer in the VM list.");
    scheduler_->RemoveWorker(worker);
    links_.Retire(worker);
  }
}

void ShardOwner::UpdateStoreAvailability() {
  const bool available = context_.store_available();
  if (available && !store_was_available_) {
    for (const TaskId& task : tasks_awaiting_store_) {
      scheduler_->Unhold(task);
    }
    tasks_awaiting_store_.clear();
  }
  store_was_available_ = available;
}

void ShardOwner::ApplyRound(const ScheduleDecisions& round) {
  for (const Placement& placement : round.placements) {
    const TrackedJob* const job = jobs_.Find(placement.job);
    const WorkerTableEntry* const worker = worker_table_.Find(placement.worker);
    if (job == nullptr || worker == nullptr) {
      scheduler_->Requeue(placement.task);
      continue;
    }
    if (!job->record.spec.repeatable && !store_was_available_) {
      scheduler_->Requeue(placement.task);
      scheduler_->Hold(placement.task);
      tasks_awaiting_store_.insert(placement.task);
      continue;
    }
    lifecycle_.Place(placement, worker->boot);
  }
  for (const Preemption& preemption : round.preemptions) {
    lifecycle_.Preempt(preemption);
  }
}

void ShardOwner::PurgeOldJobs() {
  const absl::Time limit = context_.clock->Now() - options_.job_retention;
  const uint64_t durable = journal_->durable_sequence();
  std::vector<JobId> old;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (IsFinal(job->record.state) && job->last_sequence <= durable &&
        job->record.finished_at.has_value() && *job->record.finished_at < limit) {
      old.push_back(id);
    }
  }
  for (const JobId& id : old) {
    journal_->Append(JobRemoval{id});
    jobs_.Remove(id);
  }
}

void ShardOwner::ReportDemand() {
  std::map<CustomerId, int64_t> unfinished_jobs;
  for (const auto& [id, job] : jobs_.jobs()) {
    unfinished_jobs[job->record.spec.customer] += IsFinal(job->record.state) ? 0 : 1;
  }
  for (const auto& [customer, jobs] : unfinished_jobs) {
    SliceDemand in_use;
    in_use.resources = scheduler_->CustomerUsage(customer);
    in_use.jobs = jobs;
    SliceDemand wanted = in_use;
    wanted.resources += scheduler_->CustomerDemand(customer);
    context_.limits->ReportDemand(customer, in_use, wanted);
  }
}

void ShardOwner::Wake() {
  work_pending_ = true;
  changed_.SignalAll();
}

}  // namespace pomelotray
