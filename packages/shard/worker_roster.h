#ifndef POMELOTRAY_SHARD_WORKER_ROSTER_H_
#define POMELOTRAY_SHARD_WORKER_ROSTER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "model/vm.h"
#include "ports/worker_port.h"

namespace pomelotray {

// What a shard's owner knows of one worker.
struct RosterEntry {
  VmEntry vm;
  bool fenced = false;
  bool reachable = false;
  bool refused_start = false;
  bool leaving = false;
  bool drained = false;
  BootId boot;
  // Set while the platform's VM list does not show the worker.
  std::optional<absl::Time> absent_since;

  bool Usable() const { return fenced && reachable && !refused_start && !leaving && !drained; }
  // "usable", "unfenced", "unreachable" or "leaving".
  std::string StateName() const;
};

// The workers of one shard, from the VM list and from their own answers. Not thread-safe.
class WorkerRoster {
 public:
  // `absence_grace`: how long a worker must be missing from the list before it counts as gone.
  explicit WorkerRoster(absl::Duration absence_grace) : absence_grace_(absence_grace) {}

  // Takes a fresh VM list (entries of this shard only) over; returns the workers that are new.
  std::vector<VmEntry> Update(const std::vector<VmEntry>& vms, absl::Time now);
  // Adds a worker that only the journal mentions; it counts as absent from the list.
  void AddFromJournal(const WorkerId& worker, absl::Time now);

  void NoteFenced(const WorkerId& worker, const WorkerInventory& inventory);
  void NoteAnswer(const WorkerId& worker, const WorkerInventory& inventory);
  // The worker did not take a start; it gets no other one before its next answer.
  void NoteRefusal(const WorkerId& worker);
  void NoteUnreachable(const WorkerId& worker);
  void SetDrained(const std::set<VmId>& drained);

  RosterEntry* Find(const WorkerId& worker);
  const std::map<WorkerId, RosterEntry>& entries() const { return entries_; }

  // Removes and returns the workers that are unreachable and missing from the list for longer than
  // the grace.
  std::vector<WorkerId> RemoveGone(absl::Time now);

  // True when a list has been read and every worker has been fenced; gone ones have been removed.
  bool AllFenced() const;
  // A worker that AllFenced() still waits for.
  std::optional<WorkerId> FirstUnfenced() const;

 private:
  const absl::Duration absence_grace_;
  bool list_read_ = false;
  std::map<WorkerId, RosterEntry> entries_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_ROSTER_H_
