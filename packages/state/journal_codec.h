#ifndef POMELOTRAY_STATE_JOURNAL_CODEC_H_
#define POMELOTRAY_STATE_JOURNAL_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/shard_id.h"
#include "state/journal_record.h"

namespace pomelotray {

// One store value of the journal's ring.
struct JournalBatch {
  int64_t term = 0;
  InstanceId owner;
  int64_t number = 0;
  uint64_t nonce = 0;
  // Encoded records.
  std::vector<std::string> records;
};

// The value of the snapshot key: which batches the snapshot covers and where its parts are.
struct SnapshotManifest {
  int64_t term = 0;
  InstanceId owner;
  // All batches up to this one are in the snapshot.
  int64_t covered = 0;
  // Parts alternate between two sets of keys, so that a snapshot being written never overwrites the
  // one in force.
  int64_t generation = 0;
  int64_t part_count = 0;
  // Marks the parts that belong together.
  uint64_t snapshot_nonce = 0;
  uint64_t write_nonce = 0;
};

struct SnapshotPart {
  int64_t term = 0;
  uint64_t snapshot_nonce = 0;
  // Encoded records, all of them JobUpsert or TaskUpdate.
  std::vector<std::string> records;
};

// MessagePack without field names, and job ids without the shard that the key already names: the
// journal crosses a link that is billed by volume.
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
