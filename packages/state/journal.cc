#include "state/journal.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "state/journal_codec.h"
#include "state/journal_keys.h"
#include "state/journal_storage.h"

namespace pomelotray {
namespace {

// A record and the framing of its batch must fit into one store value.
constexpr size_t kMaxRecordBytes = 900'000;
// Number of withdrawn sequence numbers that are kept, so that other threads that wait for the same
// record learn that it was withdrawn.
constexpr size_t kMaxWithdrawn = 50'000;

Error FencedError(const ShardId& shard) {
  return Error{ErrorKind::kFenced,
               absl::StrCat("Another instance has taken over the journal of shard ",
                            shard.ToString(), "; send work to the shard's owner."),
               absl::Seconds(1)};
}

Error RefusedError() {
  return Error{ErrorKind::kStoreUnavailable,
               "The record was not written because the journal is full or the record is too large; "
               "try again later or submit a smaller job.",
               absl::Seconds(1)};
}

Error WithdrawnError() {
  return Error{ErrorKind::kStoreUnavailable,
               "The record was withdrawn from the journal before it was written; try again later.",
               absl::Seconds(1)};
}

}  // namespace

Journal::Journal(const StateContext& context, const ShardId& shard, const InstanceId& owner,
                 int64_t term, const JournalOptions& options)
    : context_(context),
      shard_(shard),
      term_(term),
      options_(options),
      storage_(std::make_unique<JournalStorage>(context, shard, owner, term)) {}

Journal::~Journal() { Stop(); }

Result<std::vector<JobRecord>> Journal::Recover() {
  const Outcome<std::vector<JobRecord>> jobs = Capture([&] { return storage_->Recover(); });
  if (!jobs.ok()) {
    if (jobs.error().kind == ErrorKind::kFenced) {
      MarkDeposed();
    }
    return Fail(jobs.error());
  }
  context_.events->Record(EventCode::kJournalRecovered)
      .Shard(shard_)
      .At(Epoch{term_, 0})
      .With(event_field::kCapacity, static_cast<int64_t>(jobs.value().size()))
      .Emit();
  thread_ = std::thread([this] { Run(); });
  return jobs.value();
}

uint64_t Journal::Append(JournalRecord record) {
  std::string encoded = EncodeRecord(shard_, record);
  const size_t bytes = encoded.size() + kRecordFramingBytes;
  absl::MutexLock lock(&mutex_);
  if (IsFullLocked() || encoded.size() > kMaxRecordBytes) {
    return kRefusedRecord;
  }
  const uint64_t sequence = next_sequence_++;
  pending_bytes_ += bytes;
  pending_.push_back(Pending{sequence, std::move(record), std::move(encoded)});
  writer_wake_.Signal();
  return sequence;
}

Outcome<void> Journal::AwaitDurable(uint64_t sequence, absl::Time deadline) {
  if (sequence == kRefusedRecord) {
    return RefusedError();
  }
  absl::MutexLock lock(&mutex_);
  while (true) {
    if (withdrawn_.count(sequence) > 0) {
      return WithdrawnError();
    }
    if (sequence <= DurableSequenceLocked()) {
      return {};
    }
    if (deposed_) {
      return FencedError(shard_);
    }
    if (stopping_ || context_.clock->Now() >= deadline) {
      return TimeoutError(sequence);
    }
    context_.clock->WaitUntil(&changed_, &mutex_, deadline);
  }
}

bool Journal::Withdraw(uint64_t sequence) {
  if (sequence == kRefusedRecord) {
    return true;
  }
  absl::MutexLock lock(&mutex_);
  const auto found = std::lower_bound(
      pending_.begin(), pending_.end(), sequence,
      [](const Pending& pending, uint64_t wanted) { return pending.sequence < wanted; });
  if (found == pending_.end() || found->sequence != sequence) {
    return withdrawn_.count(sequence) > 0;
  }
  pending_bytes_ -= found->encoded.size() + kRecordFramingBytes;
  pending_.erase(found);
  withdrawn_.insert(sequence);
  if (withdrawn_.size() > kMaxWithdrawn) {
    withdrawn_.erase(withdrawn_.begin());
  }
  changed_.SignalAll();
  return true;
}

uint64_t Journal::durable_sequence() const {
  absl::MutexLock lock(&mutex_);
  return DurableSequenceLocked();
}

bool Journal::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

bool Journal::IsFull() const {
  absl::MutexLock lock(&mutex_);
  return IsFullLocked();
}

size_t Journal::pending_records() const {
  absl::MutexLock lock(&mutex_);
  return pending_.size() + in_flight_.size();
}

size_t Journal::pending_bytes() const {
  absl::MutexLock lock(&mutex_);
  return pending_bytes_;
}

void Journal::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    writer_wake_.SignalAll();
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool Journal::IsFullLocked() const {
  return pending_.size() + in_flight_.size() >= options_.max_pending_records ||
         pending_bytes_ >= options_.max_pending_bytes;
}

uint64_t Journal::DurableSequenceLocked() const {
  if (!in_flight_.empty()) {
    return in_flight_.front().sequence - 1;
  }
  return pending_.empty() ? next_sequence_ - 1 : pending_.front().sequence - 1;
}

Error Journal::TimeoutError(uint64_t sequence) const {
  const bool in_batch = !in_flight_.empty() && sequence <= in_flight_.back().sequence;
  if (in_batch) {
    return Error{
        ErrorKind::kOutcomeUnknown,
        "The record is being written and the outcome is not known yet; query the job's status "
        "later.",
        absl::Seconds(1)};
  }
  return Error{ErrorKind::kStoreUnavailable,
               "The store did not accept the record before the deadline; the record remains queued "
               "unless it is withdrawn.",
               absl::Seconds(1)};
}

void Journal::Run() {
  while (WaitForWork()) {
    const absl::Time began = context_.clock->Now();
    const Outcome<void> outcome = Capture([&] { return CommitBatch(); });
    if (!outcome.ok() && outcome.error().kind == ErrorKind::kFenced) {
      MarkDeposed();
      return;
    }
    PauseUntil(outcome.ok() ? began + options_.commit_interval
                            : context_.clock->Now() +
                                  outcome.error().retry_after.value_or(options_.retry_interval));
  }
}

bool Journal::WaitForWork() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_ && pending_.empty() && in_flight_.empty()) {
    context_.clock->WaitUntil(&writer_wake_, &mutex_, absl::InfiniteFuture());
  }
  return !stopping_;
}

void Journal::PauseUntil(absl::Time time) {
  absl::MutexLock lock(&mutex_);
  while (!stopping_ && context_.clock->Now() < time) {
    context_.clock->WaitUntil(&writer_wake_, &mutex_, time);
  }
}

std::vector<std::string> Journal::FillBatch() {
  absl::MutexLock lock(&mutex_);
  size_t bytes = 0;
  for (const Pending& pending : in_flight_) {
    bytes += pending.encoded.size();
  }
  // A batch that may already be in the store must be retried with the same contents.
  while (
      !storage_->BatchOutcomeUnknown() && !pending_.empty() &&
      (in_flight_.empty() || bytes + pending_.front().encoded.size() <= options_.max_batch_bytes)) {
    bytes += pending_.front().encoded.size();
    in_flight_.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  std::vector<std::string> records;
  records.reserve(in_flight_.size());
  for (const Pending& pending : in_flight_) {
    records.push_back(pending.encoded);
  }
  return records;
}

Result<void> Journal::CommitBatch() {
  if (storage_->RingFull()) {
    BOOST_LEAF_CHECK(storage_->WriteSnapshot());
  }
  const std::vector<std::string> records = FillBatch();
  if (!records.empty()) {
    const Outcome<void> written = Capture([&] { return storage_->WriteBatch(records); });
    if (!written.ok()) {
      RequeueBatch();
      return Fail(written.error());
    }
    MarkDurable();
  }
  if (storage_->SnapshotDue()) {
    const Outcome<void> snapshot = Capture([&] { return storage_->WriteSnapshot(); });
    // Other failures are not urgent: half of the ring's slots are still free, and the snapshot is
    // retried after the next batch.
    if (!snapshot.ok() && snapshot.error().kind == ErrorKind::kFenced) {
      return Fail(snapshot.error());
    }
  }
  return {};
}

void Journal::RequeueBatch() {
  if (storage_->BatchOutcomeUnknown()) {
    return;
  }
  // The write had no effect. Queued records, unlike those in flight, can be withdrawn.
  absl::MutexLock lock(&mutex_);
  pending_.insert(pending_.begin(), std::make_move_iterator(in_flight_.begin()),
                  std::make_move_iterator(in_flight_.end()));
  in_flight_.clear();
}

void Journal::MarkDurable() {
  int64_t count = 0;
  {
    absl::MutexLock lock(&mutex_);
    for (const Pending& pending : in_flight_) {
      storage_->Apply(pending.record);
      pending_bytes_ -= pending.encoded.size() + kRecordFramingBytes;
    }
    count = static_cast<int64_t>(in_flight_.size());
    in_flight_.clear();
    changed_.SignalAll();
  }
  context_.events->Record(EventCode::kJournalCommitted)
      .Shard(shard_)
      .At(Epoch{term_, 0})
      .With(event_field::kCapacity, count)
      .Emit();
}

void Journal::MarkDeposed() {
  {
    absl::MutexLock lock(&mutex_);
    deposed_ = true;
    changed_.SignalAll();
  }
  context_.events->Record(EventCode::kShardDeposed).Shard(shard_).At(Epoch{term_, 0}).Emit();
}

}  // namespace pomelotray
