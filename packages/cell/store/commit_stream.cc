#include "cell/store/commit_stream.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "cell/records/cell_keys.h"

namespace pomelotray {

CommitStream::CommitStream(TransactionalStore* store, PartClaim claim, int number,
                           const std::optional<StoreEntry>& entry)
    : store_(store), claim_(std::move(claim)), key_(Key(claim_.part, number)) {
  if (entry.has_value()) {
    revision_ = entry->revision;
  }
}

std::string CommitStream::Prefix(const PartName& part) {
  return absl::StrCat("pomelotray/lanes/", part.value(), "/");
}

std::string CommitStream::Key(const PartName& part, int number) {
  return absl::StrCat(Prefix(part), number);
}

CommitOutcome CommitStream::Store(const std::vector<ProgressRecord>& records) {
  StoreTransaction transaction = TransactionForClaim(claim_);
  transaction.conditions.push_back(StoreCondition{key_, revision_});
  transaction.writes = {
      StoreWrite{key_, absl::StrCat(claim_.term, ":", ++sequence_), EntryLifetime::Permanent()}};
  for (const ProgressRecord& record : records) {
    AddRecord(record, &transaction);
  }
  pending_ = std::move(transaction);
  return Resume();
}

void CommitStream::AddRecord(const ProgressRecord& record, StoreTransaction* transaction) const {
  if (!IsFinal(record.state)) {
    transaction->writes.push_back(StoreWrite{cell_keys::Progress(claim_.part, record.job),
                                             record.text, EntryLifetime::Permanent()});
    return;
  }
  transaction->writes.push_back(StoreWrite{cell_keys::Finished(claim_.part, record.job),
                                           record.text, EntryLifetime::Permanent()});
  transaction->removals.push_back(cell_keys::Job(claim_.part, record.job));
  if (record.has_stored_progress) {
    transaction->removals.push_back(cell_keys::Progress(claim_.part, record.job));
  }
  if (record.has_stored_cancel) {
    transaction->removals.push_back(cell_keys::Cancel(claim_.part, record.job));
  }
}

CommitOutcome CommitStream::Resume() {
  const Outcome<Revision> written = Capture([this] { return store_->Commit(*pending_); });
  if (written.ok()) {
    revision_ = written.value();
    pending_.reset();
    return CommitOutcome::kStored;
  }
  return written.error().kind == ErrorKind::kConflict ? ResolvePending() : CommitOutcome::kPending;
}

CommitOutcome CommitStream::ResolvePending() {
  const Outcome<std::optional<StoreEntry>> entry = Capture([this] { return store_->Get(key_); });
  if (!entry.ok()) {
    return CommitOutcome::kPending;
  }
  if (entry.value().has_value() && entry.value()->value == pending_->writes.front().value) {
    revision_ = entry.value()->revision;
    pending_.reset();
    return CommitOutcome::kStored;
  }
  return CommitOutcome::kClaimLost;
}

}  // namespace pomelotray
