#ifndef POMELOTRAY_STATE_JOURNAL_CODEC_H_
#define POMELOTRAY_STATE_JOURNAL_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/shard_id.h"
#include "state/journal_record.h"

namespace pomelotray {

// The contents of one slot in the journal's ring.
struct JournalBatch {
  int64_t term = 0;
  InstanceId owner;
  int64_t number = 0;
  uint64_t nonce = 0;
  // Encoded records.
  std::vector<std::string> records;
};

// The value of the snapshot key: the batches that the snapshot covers and the location of its
// parts.
struct SnapshotManifest {
  int64_t term = 0;
  InstanceId owner;
  // Number of the last batch included in the snapshot.
  int64_t covered = 0;
  // Selects one of two sets of part keys, 0 or 1. Snapshots alternate between them, so that a
  // snapshot being written never overwrites the current one.
  int64_t generation = 0;
  int64_t part_count = 0;
  // Equal in the manifest and all parts of one snapshot.
  uint64_t snapshot_nonce = 0;
  // Differs in each write of the manifest, so that the writer recognizes its own value.
  uint64_t write_nonce = 0;
};

struct SnapshotPart {
  int64_t term = 0;
  uint64_t snapshot_nonce = 0;
  // Encoded records, all of them JobUpsert or TaskUpdate.
  std::vector<std::string> records;
};

// Records are MessagePack arrays without field names, and job ids omit the shard, which the store
// key already contains. The encoding is compact because traffic to the store is billed by volume.
std::string EncodeRecord(const ShardId& shard, const JournalRecord& record);
Result<JournalRecord> DecodeRecord(const ShardId& shard, const std::string& bytes);

std::string EncodeBatch(const JournalBatch& batch);
Result<JournalBatch> DecodeBatch(const std::string& bytes);
std::string EncodeManifest(const SnapshotManifest& manifest);
Result<SnapshotManifest> DecodeManifest(const std::string& bytes);
std::string EncodePart(const SnapshotPart& part);
Result<SnapshotPart> DecodePart(const std::string& bytes);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_CODEC_H_
