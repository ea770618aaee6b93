#ifndef POMELOTRAY_SHARD_WORKER_TABLE_H_
#define POMELOTRAY_SHARD_WORKER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "model/vm.h"
#include "ports/worker_port.h"

namespace pomelotray {

// State of one worker as known to the owner of its shard.
struct WorkerTableEntry {
  VmEntry vm;
  bool fenced = false;
  bool reachable = false;
  // The worker rejected a start and has not answered since.
  bool refused_start = false;
  bool leaving = false;
  bool drained = false;
  BootId boot;
  // When the worker was first missing from the platform's VM list; unset while it is listed.
  std::optional<absl::Time> absent_since;

  // Whether tasks may be started on the worker.
  bool Usable() const { return fenced && reachable && !refused_start && !leaving && !drained; }
  // Returns "usable", "unfenced", "unreachable" or "leaving".
  std::string StateName() const;
};

// Tracks the workers of one shard, based on the VM list and the workers' answers. Not thread-safe.
class WorkerTable {
 public:
  // An unreachable worker is removed when it has been missing from the VM list for longer than
  // `absence_grace`.
  explicit WorkerTable(absl::Duration absence_grace) : absence_grace_(absence_grace) {}

  // Applies a newly read VM list, which must hold only entries of this shard. Returns the entries
  // of workers that were not known before or were known from the journal only.
  std::vector<VmEntry> Update(const std::vector<VmEntry>& vms, absl::Time now);
  // Adds a worker that appears in the journal. Until a VM list contains it, it counts as missing
  // from the list.
  void AddFromJournal(const WorkerId& worker, absl::Time now);

  void RecordFenced(const WorkerId& worker, const WorkerInventory& inventory);
  void RecordAnswer(const WorkerId& worker, const WorkerInventory& inventory);
  // Records that the worker rejected a start. No task is started on it until its next answer.
  void RecordStartRejected(const WorkerId& worker);
  void RecordUnreachable(const WorkerId& worker);
  void SetDrained(const std::set<VmId>& drained);

  WorkerTableEntry* Find(const WorkerId& worker);
  const std::map<WorkerId, WorkerTableEntry>& entries() const { return entries_; }

  // Removes and returns the workers that are unreachable and have been missing from the list for
  // longer than the grace period.
  std::vector<WorkerId> RemoveMissing(absl::Time now);

  // Returns true when a VM list has been read and every tracked worker has been fenced. Workers
  // that RemoveMissing() has removed do not count.
  bool AllFenced() const;
  // Returns the first worker that has not been fenced, if any.
  std::optional<WorkerId> FirstUnfenced() const;

 private:
  const absl::Duration absence_grace_;
  bool list_read_ = false;
  std::map<WorkerId, WorkerTableEntry> entries_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_TABLE_H_
