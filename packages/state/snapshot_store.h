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

// Reads and writes the snapshots of one journal. A snapshot comes into force with the write of its
// manifest; its parts are written before, beside those of the snapshot in force. Not thread-safe.
class SnapshotStore {
 public:
  SnapshotStore(const StateContext& context, const ShardId& shard, const InstanceId& owner,
                int64_t term);

  // Takes the snapshot from the journal's entries and applies it to `jobs`. kConflict: the entries
  // belong to different snapshots, because they were read while one was written; read them again.
  // kFenced: a later term wrote the snapshot.
  Result<void> Load(const std::map<std::string, StoreEntry>& entries, JobTable* jobs);
  // Writes the manifest in force again in the name of this owner, so that no earlier owner can
  // bring a snapshot into force any more. kConflict: it changed since Load.
  Result<void> TakeOver();
  // Writes a snapshot of all jobs as of batch `covered`. kFenced: a later owner took over.
  Result<void> Write(const JobTable& jobs, int64_t covered);

  // All batches up to this one are in the snapshot in force.
  int64_t covered() const { return manifest_.covered; }

 private:
  std::string PartKey(int64_t generation, int64_t index) const;
  Result<void> LoadParts(const std::map<std::string, StoreEntry>& entries, JobTable* jobs) const;
  std::vector<std::string> EncodeJobs(const JobTable& jobs) const;
  Result<int64_t> WriteParts(const std::vector<std::string>& records, int64_t generation,
                             uint64_t nonce);
  Result<void> WritePart(const std::string& key, const SnapshotPart& part);
  // Finds out the revision of a part that another owner wrote.
  Result<Revision> RevisionOfOlderPart(const std::string& key) const;
  Result<void> CommitManifest();

  const StateContext context_;
  const ShardId shard_;
  const InstanceId owner_;
  const int64_t term_;
  const std::string prefix_;
  SnapshotManifest manifest_;
  Revision manifest_revision_;
  std::map<std::string, Revision> part_revisions_;
  // A manifest whose write has no known outcome yet. Its parts must not be overwritten.
  std::optional<SnapshotManifest> unsettled_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SNAPSHOT_STORE_H_
