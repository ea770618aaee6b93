#include "state/snapshot_store.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "state/compare_and_swap.h"
#include "state/journal_keys.h"
#include "state/nonce.h"

namespace pomelotray {
namespace {

// Leaves room for the framing of a part within kMaxStoreValueBytes.
constexpr size_t kMaxPartBytes = 900'000;
// A job with a larger record is stored as one record without tasks and one record per task.
constexpr size_t kMaxUnsplitBytes = 200'000;
constexpr int kMaxPartWriteAttempts = 4;

boost::leaf::error_id FencedError(const ShardId& shard) {
  return Fail(ErrorKind::kFenced,
              absl::StrCat("Another instance has taken over the journal of shard ",
                           shard.ToString(), "; send work to the shard's owner."));
}

boost::leaf::error_id InconsistentSnapshotError(const ShardId& shard) {
  return Fail(ErrorKind::kConflict,
              absl::StrCat("The snapshot of shard ", shard.ToString(),
                           " was being replaced while it was read; read it again."),
              absl::Milliseconds(100));
}

}  // namespace

SnapshotStore::SnapshotStore(const StateContext& context, const ShardId& shard,
                             const InstanceId& owner, int64_t term)
    : context_(context),
      shard_(shard),
      owner_(owner),
      term_(term),
      prefix_(JournalPrefix(shard) + "snapshot") {}

std::string SnapshotStore::PartKey(int64_t generation, int64_t index) const {
  return absl::StrCat(prefix_, "/", generation, "/", index);
}

Result<void> SnapshotStore::Load(const std::map<std::string, StoreEntry>& entries, JobTable* jobs) {
  manifest_ = SnapshotManifest{};
  manifest_revision_ = Revision(0);
  unconfirmed_manifest_.reset();
  part_revisions_.clear();
  for (const auto& [key, entry] : entries) {
    if (absl::StartsWith(key, prefix_ + "/")) {
      part_revisions_[key] = entry.revision;
    }
  }
  const auto found = entries.find(prefix_);
  if (found == entries.end()) {
    return {};
  }
  BOOST_LEAF_AUTO(manifest, DecodeManifest(found->second.value));
  if (manifest.term > term_) {
    return FencedError(shard_);
  }
  manifest_ = manifest;
  manifest_revision_ = found->second.revision;
  return LoadParts(entries, jobs);
}

Result<void> SnapshotStore::LoadParts(const std::map<std::string, StoreEntry>& entries,
                                      JobTable* jobs) const {
  for (int64_t index = 0; index < manifest_.part_count; ++index) {
    const auto found = entries.find(PartKey(manifest_.generation, index));
    if (found == entries.end()) {
      return InconsistentSnapshotError(shard_);
    }
    BOOST_LEAF_AUTO(part, DecodePart(found->second.value));
    if (part.snapshot_nonce != manifest_.snapshot_nonce) {
      return InconsistentSnapshotError(shard_);
    }
    for (const std::string& bytes : part.records) {
      BOOST_LEAF_AUTO(record, DecodeRecord(shard_, bytes));
      jobs->Apply(record);
    }
  }
  return {};
}

Result<void> SnapshotStore::TakeOver() {
  SnapshotManifest manifest = manifest_;
  manifest.term = term_;
  manifest.owner = owner_;
  manifest.write_nonce = MakeNonce();
  BOOST_LEAF_AUTO(swap, CompareAndSwapWithReadBack(context_, prefix_, manifest_revision_,
                                                   EncodeManifest(manifest)));
  if (swap.state != CompareAndSwapResult::State::kWritten) {
    return InconsistentSnapshotError(shard_);
  }
  manifest_ = manifest;
  manifest_revision_ = swap.revision;
  return {};
}

Result<void> SnapshotStore::Write(const JobTable& jobs, int64_t covered) {
  if (unconfirmed_manifest_.has_value()) {
    BOOST_LEAF_CHECK(CommitManifest());
    if (manifest_.covered >= covered) {
      return {};
    }
  }
  SnapshotManifest manifest;
  manifest.term = term_;
  manifest.owner = owner_;
  manifest.covered = covered;
  manifest.generation = 1 - manifest_.generation;
  manifest.snapshot_nonce = MakeNonce();
  manifest.write_nonce = MakeNonce();
  BOOST_LEAF_AUTO(count,
                  WriteParts(EncodeJobs(jobs), manifest.generation, manifest.snapshot_nonce));
  manifest.part_count = count;
  unconfirmed_manifest_ = manifest;
  BOOST_LEAF_CHECK(CommitManifest());
  context_.events->Record(EventCode::kJournalSnapshotWritten)
      .Shard(shard_)
      .At(Epoch{term_, 0})
      .With(event_field::kRevision, covered)
      .Emit();
  return {};
}

std::vector<std::string> SnapshotStore::EncodeJobs(const JobTable& jobs) const {
  std::vector<std::string> records;
  records.reserve(jobs.jobs().size());
  for (const auto& [id, job] : jobs.jobs()) {
    std::string whole = EncodeRecord(shard_, JobUpsert{job});
    if (whole.size() <= kMaxUnsplitBytes) {
      records.push_back(std::move(whole));
      continue;
    }
    JobRecord without_tasks = job;
    without_tasks.tasks.clear();
    records.push_back(EncodeRecord(shard_, JobUpsert{without_tasks}));
    for (const TaskStatus& task : job.tasks) {
      records.push_back(EncodeRecord(shard_, TaskUpdate{job.id, task, job.state, job.reason,
                                                        job.started_at, job.finished_at}));
    }
  }
  return records;
}

Result<int64_t> SnapshotStore::WriteParts(const std::vector<std::string>& records,
                                          int64_t generation, uint64_t nonce) {
  int64_t count = 0;
  size_t bytes = 0;
  SnapshotPart part{term_, nonce, {}};
  for (size_t i = 0; i < records.size(); ++i) {
    part.records.push_back(records[i]);
    bytes += records[i].size() + kRecordFramingBytes;
    const bool last = i + 1 == records.size();
    if (last || bytes + records[i + 1].size() + kRecordFramingBytes > kMaxPartBytes) {
      BOOST_LEAF_CHECK(WritePart(PartKey(generation, count), part));
      ++count;
      part.records.clear();
      bytes = 0;
    }
  }
  return count;
}

Result<void> SnapshotStore::WritePart(const std::string& key, const SnapshotPart& part) {
  const std::string value = EncodePart(part);
  for (int attempt = 0; attempt < kMaxPartWriteAttempts; ++attempt) {
    BOOST_LEAF_AUTO(swap, CompareAndSwapWithReadBack(context_, key, part_revisions_[key], value));
    if (swap.state == CompareAndSwapResult::State::kWritten) {
      part_revisions_[key] = swap.revision;
      return {};
    }
    // The part was changed by an earlier owner or by a delayed write of this owner.
    BOOST_LEAF_AUTO(revision, ReadPartRevision(key));
    part_revisions_[key] = revision;
  }
  return Fail(ErrorKind::kStoreUnavailable,
              absl::StrCat("The snapshot part ", key,
                           " keeps being changed by other writes; the snapshot will be retried."),
              absl::Seconds(1));
}

Result<Revision> SnapshotStore::ReadPartRevision(const std::string& key) const {
  BOOST_LEAF_AUTO(entry, context_.store->Get(key));
  if (!entry.has_value()) {
    return Revision(0);
  }
  BOOST_LEAF_AUTO(part, DecodePart(entry->value));
  if (part.term > term_) {
    return FencedError(shard_);
  }
  return entry->revision;
}

Result<void> SnapshotStore::CommitManifest() {
  const Outcome<CompareAndSwapResult> swap = Capture([&] {
    return CompareAndSwapWithReadBack(context_, prefix_, manifest_revision_,
                                      EncodeManifest(*unconfirmed_manifest_));
  });
  if (!swap.ok()) {
    return Fail(swap.error());
  }
  // After TakeOver, only an owner with a later term can have changed the manifest.
  if (swap.value().state != CompareAndSwapResult::State::kWritten) {
    return FencedError(shard_);
  }
  manifest_ = *unconfirmed_manifest_;
  manifest_revision_ = swap.value().revision;
  unconfirmed_manifest_.reset();
  return {};
}

}  // namespace pomelotray
