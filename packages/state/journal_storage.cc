#include "state/journal_storage.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "state/compare_and_swap.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

// An earlier owner that writes snapshots can force the journal to be read again several times,
// until this owner has taken over the manifest.
constexpr int kMaxRecoveryAttempts = 8;

boost::leaf::error_id FencedError(const ShardId& shard) {
  return Fail(ErrorKind::kFenced,
              absl::StrCat("Another instance has taken over the journal of shard ",
                           shard.ToString(), "; send work to the shard's owner."));
}

boost::leaf::error_id ConcurrentChangeError(const ShardId& shard) {
  return Fail(ErrorKind::kConflict,
              absl::StrCat("The journal of shard ", shard.ToString(),
                           " changed while it was read; read it again."),
              absl::Milliseconds(100));
}

}  // namespace

JournalStorage::JournalStorage(const StateContext& context, const ShardId& shard,
                               const InstanceId& owner, int64_t term)
    : context_(context),
      shard_(shard),
      owner_(owner),
      term_(term),
      snapshot_(context, shard, owner, term) {}

std::string JournalStorage::SlotKey(int64_t number) const {
  return absl::StrCat(JournalPrefix(shard_), absl::Dec(number % kJournalSlots, absl::kZeroPad2));
}

Result<std::vector<JobRecord>> JournalStorage::Recover() {
  Outcome<void> outcome;
  for (int attempt = 0; attempt < kMaxRecoveryAttempts; ++attempt) {
    outcome = Capture([&]() -> Result<void> {
      BOOST_LEAF_CHECK(ReadAll());
      BOOST_LEAF_CHECK(snapshot_.TakeOver());
      return WriteBarrier();
    });
    if (outcome.ok()) {
      return jobs_.All();
    }
    if (outcome.error().kind != ErrorKind::kConflict) {
      return Fail(outcome.error());
    }
  }
  return Fail(ErrorKind::kStoreUnavailable,
              absl::StrCat("The journal of shard ", shard_.ToString(),
                           " kept changing while it was read; try again."),
              absl::Seconds(1));
}

Result<void> JournalStorage::ReadAll() {
  jobs_.Clear();
  last_batch_ = 0;
  slot_revisions_ = {};
  nonce_ = 0;
  batch_outcome_unknown_ = false;
  BOOST_LEAF_AUTO(listed, context_.store->List(JournalPrefix(shard_)));
  std::map<std::string, StoreEntry> entries;
  for (StoreEntry& entry : listed) {
    std::string key = entry.key;
    entries.emplace(std::move(key), std::move(entry));
  }
  BOOST_LEAF_CHECK(snapshot_.Load(entries, &jobs_));
  return ReadSlots(entries);
}

Result<void> JournalStorage::ReadSlots(const std::map<std::string, StoreEntry>& entries) {
  last_batch_ = snapshot_.covered();
  std::map<int64_t, JournalBatch> batches;
  for (int64_t slot = 0; slot < kJournalSlots; ++slot) {
    const auto found = entries.find(SlotKey(slot));
    if (found == entries.end()) {
      continue;
    }
    slot_revisions_[slot] = found->second.revision;
    BOOST_LEAF_AUTO(batch, DecodeBatch(found->second.value));
    if (batch.term > term_) {
      return FencedError(shard_);
    }
    if (batch.number > last_batch_) {
      batches.emplace(batch.number, std::move(batch));
    }
  }
  for (const auto& [number, batch] : batches) {
    if (number != last_batch_ + 1) {
      // A batch is missing: the keys are not read atomically, and an earlier owner wrote to them in
      // the meantime.
      return ConcurrentChangeError(shard_);
    }
    BOOST_LEAF_CHECK(ApplyBatch(batch));
    last_batch_ = number;
  }
  return {};
}

Result<void> JournalStorage::ApplyBatch(const JournalBatch& batch) {
  for (const std::string& bytes : batch.records) {
    BOOST_LEAF_AUTO(record, DecodeRecord(shard_, bytes));
    jobs_.Apply(record);
  }
  return {};
}

Result<void> JournalStorage::WriteBarrier() {
  // An earlier owner whose manifest was taken over cannot write a snapshot, so it can write at most
  // kJournalSlots more batches.
  for (int64_t attempt = 0; attempt <= kJournalSlots; ++attempt) {
    if (RingFull()) {
      // The earlier owner cannot write batches to a full ring, so the snapshot is complete.
      BOOST_LEAF_CHECK(WriteSnapshot());
    }
    const int64_t number = last_batch_ + 1;
    const JournalBatch barrier{term_, owner_, number, MakeNonce(), {}};
    BOOST_LEAF_AUTO(swap, CompareAndSwapWithReadBack(context_, SlotKey(number),
                                                     SlotRevision(number), EncodeBatch(barrier)));
    if (swap.state == CompareAndSwapResult::State::kWritten) {
      Advance(swap.revision);
      return {};
    }
    BOOST_LEAF_CHECK(ApplyConflictingBatch());
  }
  return ConcurrentChangeError(shard_);
}

Result<void> JournalStorage::ApplyConflictingBatch() {
  const int64_t number = last_batch_ + 1;
  BOOST_LEAF_AUTO(entry, context_.store->Get(SlotKey(number)));
  if (!entry.has_value()) {
    return ConcurrentChangeError(shard_);
  }
  BOOST_LEAF_AUTO(batch, DecodeBatch(entry->value));
  if (batch.term > term_) {
    return FencedError(shard_);
  }
  if (batch.number != number) {
    return ConcurrentChangeError(shard_);
  }
  BOOST_LEAF_CHECK(ApplyBatch(batch));
  Advance(entry->revision);
  return {};
}

Result<void> JournalStorage::WriteBatch(const std::vector<std::string>& records) {
  const int64_t number = last_batch_ + 1;
  if (nonce_ == 0) {
    nonce_ = MakeNonce();
  }
  const std::string value = EncodeBatch(JournalBatch{term_, owner_, number, nonce_, records});
  const Outcome<CompareAndSwapResult> swap = Capture([&] {
    return CompareAndSwapWithReadBack(context_, SlotKey(number), SlotRevision(number), value);
  });
  if (!swap.ok()) {
    if (swap.error().kind == ErrorKind::kOutcomeUnknown) {
      batch_outcome_unknown_ = true;
    } else if (!batch_outcome_unknown_) {
      nonce_ = 0;
    }
    return Fail(swap.error());
  }
  if (swap.value().state == CompareAndSwapResult::State::kWritten) {
    Advance(swap.value().revision);
    return {};
  }
  if (batch_outcome_unknown_) {
    // The conflict may be caused by an earlier attempt to write this batch.
    return ReadBackBatch(value);
  }
  return FencedError(shard_);
}

Result<void> JournalStorage::ReadBackBatch(const std::string& value) {
  BOOST_LEAF_AUTO(entry, context_.store->Get(SlotKey(last_batch_ + 1)));
  if (entry.has_value() && entry->value == value) {
    Advance(entry->revision);
    return {};
  }
  return FencedError(shard_);
}

void JournalStorage::Advance(Revision revision) {
  ++last_batch_;
  SlotRevision(last_batch_) = revision;
  nonce_ = 0;
  batch_outcome_unknown_ = false;
}

}  // namespace pomelotray
