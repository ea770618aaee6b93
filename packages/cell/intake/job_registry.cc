#include "cell/intake/job_registry.h"

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

JobRegistry::JobRegistry(TransactionalStore* store, EntryWriter* writer, EventLog* events,
                         EntryCreated entry_created)
    : store_(store), writer_(writer), events_(events), entry_created_(std::move(entry_created)) {}

Result<Registration> JobRegistry::Register(const NewJob& job, const CallerRights& caller,
                                           const CreationLimits& limits) {
  const NewEntry intake{cell_keys::Job(job.part, job.id), job.intake};
  const NewEntry id_entry{cell_keys::JobIdEntry(job.id),
                          EncodeJobIdRecord(JobIdRecord{job.part, caller.submits_for})};
  // The conditions on the intake and the final state hold off jobs that were stored before there
  // were entries of ids.
  const EntryCreation creation{
      job.id,
      {id_entry, intake},
      {StoreCondition{cell_keys::Finished(job.part, job.id), Revision(0)}}};
  for (int i = 0; i < kMaxTries; ++i) {
    BOOST_LEAF_AUTO(created, writer_->Create(creation, limits));
    if (created) {
      entry_created_(job.part, intake);
      return Registration::kCreated;
    }
    const Outcome<std::optional<Registration>> known =
        Capture([&] { return ExplainConflict(job, caller); });
    if (!known.ok()) {
      return Fail(AsUnknownOutcome(known.error()));
    }
    if (known.value().has_value()) {
      return *known.value();
    }
  }
  return FailUnsettled();
}

Result<std::optional<Registration>> JobRegistry::ExplainConflict(const NewJob& job,
                                                                 const CallerRights& caller) {
  BOOST_LEAF_AUTO(found, Read(job.id));
  if (found.has_value()) {
    return caller.MaySee(found->record.customer) ? Registration::kKnown : Registration::kInUse;
  }
  BOOST_LEAF_AUTO(status, StatusInPart(job.part, job.id));
  if (!status.has_value()) {
    return std::optional<Registration>();
  }
  return caller.MaySee(status->customer) ? Registration::kKnown : Registration::kInUse;
}

Result<bool> JobRegistry::Cancel(const JobId& id, const PartName& expected_part,
                                 const CallerRights& caller, const CreationLimits& limits) {
  std::optional<Revision> tried;
  for (int i = 0; i < kMaxTries; ++i) {
    BOOST_LEAF_AUTO(found, Read(id));
    PartName part = expected_part;
    CustomerId customer;
    std::optional<Revision> id_revision;
    if (found.has_value()) {
      part = found->record.part;
      customer = found->record.customer;
      id_revision = found->revision;
    } else {
      BOOST_LEAF_AUTO(status, StatusInPart(expected_part, id));
      if (!status.has_value()) {
        return false;
      }
      customer = status->customer;
    }
    if (!caller.MaySee(customer)) {
      return false;
    }
    // The last attempt failed although the id names the same job: the cancellation exists.
    if (i > 0 && tried == id_revision) {
      return true;
    }
    BOOST_LEAF_AUTO(created, CreateCancel(id, part, id_revision, limits));
    if (created) {
      return true;
    }
    tried = id_revision;
  }
  return FailUnsettled();
}

Result<bool> JobRegistry::CreateCancel(const JobId& id, const PartName& part,
                                       std::optional<Revision> id_revision,
                                       const CreationLimits& limits) {
  const NewEntry cancel{cell_keys::Cancel(part, id), kCancelValue};
  EntryCreation creation{id, {cancel}, {}};
  if (id_revision.has_value()) {
    // The job must not be removed before its cancellation is stored: nothing would remove that.
    creation.conditions.push_back(StoreCondition{cell_keys::JobIdEntry(id), *id_revision});
  }
  BOOST_LEAF_AUTO(created, writer_->Create(creation, limits));
  if (created) {
    entry_created_(part, cancel);
  }
  return created;
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
