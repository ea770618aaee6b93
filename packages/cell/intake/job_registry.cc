#include "cell/intake/job_registry.h"

#include <algorithm>
#include <utility>

#include "cell/records/cell_keys.h"
#include "cell/records/job_record.h"
#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

// An id can be taken or freed by others between a read and the write that depends on it. More
// changes than this do not occur by chance.
constexpr int kMaxTries = 4;

constexpr char kCancelValue[] = "1";
constexpr char kWithdrawnValue[] = "1";

// Limits of one instance for cancellations of ids that name no job. Each takes a write of the
// store, whose rate all instances share, and an entry for the retention.
constexpr double kWithdrawalsPerSecond = 5;
constexpr int64_t kWithdrawalBurst = 100;

boost::leaf::error_id FailUnsettled() {
  return Fail(ErrorKind::kOutcomeUnknown,
              "The entry of the job id changed with each attempt; send the same request again.");
}

// The outcome of a request whose job may have been stored by an earlier one cannot be a refusal.
Error AsUnknownOutcome(const Error& error) {
  return Error{ErrorKind::kOutcomeUnknown,
               error.message +
                   " The job may have been stored by an earlier request; send the same "
                   "request again to learn the outcome.",
               std::nullopt};
}

}  // namespace

JobRegistry::JobRegistry(TransactionalStore* store, EntryWriter* writer, const Clock* clock,
                         EventLog* events, EntryCreated entry_created)
    : store_(store),
      writer_(writer),
      clock_(clock),
      events_(events),
      entry_created_(std::move(entry_created)),
      withdrawals_(kWithdrawalsPerSecond, kWithdrawalBurst, clock->Now()) {}

EntryCreation JobRegistry::CreationOf(const NewJob& job, const CallerRights& caller,
                                      const std::optional<FoundRecord>& withdrawal) {
  EntryCreation creation;
  creation.job = job.id;
  creation.entries = {NewEntry{cell_keys::JobIdEntry(job.id),
                               EncodeJobIdRecord(JobIdRecord{job.part, caller.submits_for, {}}),
                               withdrawal.has_value() ? withdrawal->revision : Revision(0)},
                      NewEntry{cell_keys::Job(job.part, job.id), job.intake, Revision(0)}};
  // The conditions on the intake and the final state hold off jobs that were stored before there
  // were entries of ids.
  creation.conditions = {StoreCondition{cell_keys::Finished(job.part, job.id), Revision(0)}};
  if (withdrawal.has_value()) {
    creation.removals = {cell_keys::Withdrawn(withdrawal->record.part, job.id)};
  }
  return creation;
}

Result<Registration> JobRegistry::Register(const NewJob& job, const CallerRights& caller,
                                           const CreationLimits& limits) {
  std::optional<FoundRecord> withdrawal;
  for (int i = 0; i < kMaxTries; ++i) {
    const EntryCreation creation = CreationOf(job, caller, withdrawal);
    BOOST_LEAF_AUTO(created, writer_->Create(creation, limits));
    if (created) {
      entry_created_(job.part, creation.entries.back());
      return Registration::kCreated;
    }
    const Outcome<Conflict> conflict = Capture([&] { return ExplainConflict(job, caller); });
    if (!conflict.ok()) {
      return Fail(AsUnknownOutcome(conflict.error()));
    }
    if (conflict.value().answer.has_value()) {
      return *conflict.value().answer;
    }
    withdrawal = conflict.value().withdrawal;
  }
  return FailUnsettled();
}

Result<JobRegistry::Conflict> JobRegistry::ExplainConflict(const NewJob& job,
                                                           const CallerRights& caller) {
  BOOST_LEAF_AUTO(found, Read(job.id));
  Conflict conflict;
  if (found.has_value() && found->record.IsWithdrawn()) {
    if (found->record.IsWithdrawnFor(caller.submits_for)) {
      conflict.answer = Registration::kWithdrawn;
    } else {
      conflict.withdrawal = found;
    }
    return conflict;
  }
  std::optional<CustomerId> customer;
  if (found.has_value()) {
    customer = found->record.customer;
  } else {
    BOOST_LEAF_AUTO(status, StatusInPart(job.part, job.id));
    customer = status.has_value() ? std::optional<CustomerId>(status->customer) : std::nullopt;
  }
  if (customer.has_value()) {
    conflict.answer = caller.MaySee(*customer) ? Registration::kKnown : Registration::kInUse;
  }
  return conflict;
}

Result<bool> JobRegistry::Cancel(const JobId& id, const PartName& expected_part,
                                 const CallerRights& caller, const CreationLimits& limits) {
  // The job whose cancellation could not be created in the last attempt.
  std::optional<CancelledJob> tried;
  for (int i = 0; i < kMaxTries; ++i) {
    BOOST_LEAF_AUTO(found, Read(id));
    BOOST_LEAF_AUTO(job, FindCancelledJob(id, found, expected_part, /*look_in_part=*/i > 0));
    if (!job.has_value()) {
      tried.reset();
      BOOST_LEAF_AUTO(withdrawn, Withdraw(id, expected_part, caller, found, limits));
      if (withdrawn) {
        return false;
      }
      continue;
    }
    if (!caller.MaySee(job->customer)) {
      // As long as this job's entry exists, no other job of the id can be stored.
      return false;
    }
    if (tried.has_value() && tried->id_revision == job->id_revision) {
      // The job is the same, so its cancellation exists.
      return true;
    }
    BOOST_LEAF_AUTO(created, CreateCancel(id, *job, limits));
    if (created) {
      return true;
    }
    tried = job;
  }
  return FailUnsettled();
}

Result<std::optional<JobRegistry::CancelledJob>> JobRegistry::FindCancelledJob(
    const JobId& id, const std::optional<FoundRecord>& found, const PartName& expected_part,
    bool look_in_part) {
  if (found.has_value()) {
    return found->record.IsWithdrawn()
               ? std::nullopt
               : std::optional<CancelledJob>(
                     CancelledJob{found->record.part, found->record.customer, found->revision});
  }
  if (!look_in_part) {
    return std::optional<CancelledJob>();
  }
  BOOST_LEAF_AUTO(status, StatusInPart(expected_part, id));
  if (!status.has_value()) {
    return std::optional<CancelledJob>();
  }
  return std::optional<CancelledJob>(CancelledJob{expected_part, status->customer, std::nullopt});
}

Result<bool> JobRegistry::CreateCancel(const JobId& id, const CancelledJob& job,
                                       const CreationLimits& limits) {
  const NewEntry cancel{cell_keys::Cancel(job.part, id), kCancelValue, Revision(0)};
  EntryCreation creation{id, {cancel}, {}, {}};
  if (job.id_revision.has_value()) {
    // The job must not be removed before its cancellation is stored: nothing would remove that.
    creation.conditions = {StoreCondition{cell_keys::JobIdEntry(id), *job.id_revision}};
  }
  BOOST_LEAF_AUTO(created, writer_->Create(creation, limits));
  if (created) {
    entry_created_(job.part, cancel);
  }
  return created;
}

Result<bool> JobRegistry::Withdraw(const JobId& id, const PartName& expected_part,
                                   const CallerRights& caller,
                                   const std::optional<FoundRecord>& found,
                                   const CreationLimits& limits) {
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_->Now();
    if (!withdrawals_.TryTake(now)) {
      return Fail(ErrorKind::kOverloaded,
                  "Too many jobs that were not submitted are being cancelled; send the request "
                  "again later.",
                  withdrawals_.TimeToToken(now));
    }
  }
  JobIdRecord record;
  Revision replaced;
  if (found.has_value()) {
    record = found->record;
    replaced = found->revision;
  } else {
    record.part = expected_part;
  }
  if (std::find(record.withdrawn_by.begin(), record.withdrawn_by.end(), caller.customer) ==
      record.withdrawn_by.end()) {
    record.withdrawn_by.push_back(caller.customer);
  }
  // Both entries are always written together, so they have the same revision.
  EntryCreation creation{
      id,
      {NewEntry{cell_keys::JobIdEntry(id), EncodeJobIdRecord(record), replaced},
       NewEntry{cell_keys::Withdrawn(record.part, id), kWithdrawnValue, replaced}},
      {},
      {}};
  if (!found.has_value()) {
    // A job that was stored before there were entries of ids must not be hidden by one.
    creation.conditions = {StoreCondition{cell_keys::Job(expected_part, id), Revision(0)},
                           StoreCondition{cell_keys::Finished(expected_part, id), Revision(0)}};
  }
  BOOST_LEAF_AUTO(withdrawn, writer_->Create(creation, limits));
  if (withdrawn) {
    events_->Record(EventCode::kJobIdWithdrawn).Job(id).Emit();
  }
  return withdrawn;
}

Result<std::optional<JobIdRecord>> JobRegistry::Find(const JobId& id) {
  BOOST_LEAF_AUTO(found, Read(id));
  return found.has_value() ? std::optional<JobIdRecord>(found->record) : std::nullopt;
}

Result<std::optional<JobRegistry::FoundRecord>> JobRegistry::Read(const JobId& id) {
  BOOST_LEAF_AUTO(entry, store_->Get(cell_keys::JobIdEntry(id)));
  if (!entry.has_value()) {
    return std::optional<FoundRecord>();
  }
  const Outcome<JobIdRecord> record = Capture([&] { return DecodeJobIdRecord(entry->value); });
  if (!record.ok()) {
    RecordStoreFailure(events_, "read of the entry of job id " + id.value(), record.error());
    return Fail(record.error());
  }
  return std::optional<FoundRecord>(FoundRecord{record.value(), entry->revision});
}

Result<std::optional<JobStatus>> JobRegistry::StatusInPart(const PartName& part, const JobId& id) {
  // A job's entries are read in the order in which they replace each other. In any other order a
  // concurrent replacement could make the job look missing.
  BOOST_LEAF_AUTO(progress, store_->Get(cell_keys::Progress(part, id)));
  if (progress.has_value()) {
    return DecodeJobStatus(progress->value);
  }
  BOOST_LEAF_AUTO(intake, store_->Get(cell_keys::Job(part, id)));
  if (intake.has_value()) {
    // An entry that cannot be decoded was not written by an instance and belongs to nobody.
    const Outcome<CustomerId> customer =
        Capture([&] { return DecodeIntakeCustomer(intake->value); });
    return std::optional<JobStatus>(
        JobStatus{CellJobState::kQueued, customer.ok() ? customer.value() : CustomerId()});
  }
  BOOST_LEAF_AUTO(finished, store_->Get(cell_keys::Finished(part, id)));
  if (finished.has_value()) {
    return DecodeJobStatus(finished->value);
  }
  return std::optional<JobStatus>();
}

}  // namespace pomelotray
