#ifndef POMELOTRAY_STATE_SNAPSHOT_STORE_H_
#define POMELOTRAY_STATE_SNAPSHOT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/job_table.h"
#include "state/journal_codec.h"
#include "state/state_context.h"

namespace pomelotray {

// Reads and writes the snapshots of one journal. The parts of a new snapshot are written first,
// without overwriting those of the current snapshot; writing the manifest then makes the new
// snapshot current. Not thread-safe.
class SnapshotStore {
 public:
  SnapshotStore(const StateContext& context, const ShardId& shard, const InstanceId& owner,
                int64_t term);

  // Decodes the snapshot in the journal's entries and applies it to `jobs`. kConflict: the entries
  // were read while a snapshot was being written and belong to different snapshots; read them
  // again. kFenced: an owner with a later term wrote the snapshot.
  Result<void> Load(const std::map<std::string, StoreEntry>& entries, JobTable* jobs);
  // Rewrites the current manifest with this owner's term, so that an earlier owner can no longer
  // commit a snapshot. kConflict: the manifest has changed since Load.
  Result<void> TakeOver();
  // Writes a snapshot of all jobs as of batch `covered`. kFenced: a later owner has taken over the
  // journal.
  Result<void> Write(const JobTable& jobs, int64_t covered);

  // Number of the last batch included in the current snapshot.
  int64_t covered() const { return manifest_.covered; }

 private:
  std::string PartKey(int64_t generation, int64_t index) const;
  Result<void> LoadParts(const std::map<std::string, StoreEntry>& entries, JobTable* jobs) const;
  std::vector<std::string> EncodeJobs(const JobTable& jobs) const;
  Result<int64_t> WriteParts(const std::vector<std::string>& records, int64_t generation,
                             uint64_t nonce);
  Result<void> WritePart(const std::string& key, const SnapshotPart& part);
  // Reads the revision of a part that was changed by an earlier owner or by a delayed write.
  // kFenced: an owner with a later term wrote the part.
  Result<Revision> ReadPartRevision(const std::string& key) const;
  Result<void> CommitManifest();

  const StateContext context_;
  const ShardId shard_;
  const InstanceId owner_;
  const int64_t term_;
  const std::string prefix_;
  SnapshotManifest manifest_;
  Revision manifest_revision_;
  std::map<std::string, Revision> part_revisions_;
  // A manifest whose write has not been confirmed yet. The parts that it refers to must not be
  // overwritten.
  std::optional<SnapshotManifest> unconfirmed_manifest_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SNAPSHOT_STORE_H_
