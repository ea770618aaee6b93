#ifndef POMELOTRAY_STATE_CONFIGURATION_CACHE_H_
#define POMELOTRAY_STATE_CONFIGURATION_CACHE_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "model/contract.h"
#include "state/state_context.h"

namespace pomelotray {

// The contracts as far as this instance knows them. The highest revision of each key is kept, and
// nothing ever goes back to an older one. Thread-safe.
class ConfigurationCache {
 public:
  // Called after a change with the contract in force, or with nullopt when it was deleted. Runs
  // under a lock: it must not change this cache.
  using ChangeCallback = std::function<void(const CustomerId&, const std::optional<Contract>&)>;

  // `should_watch` tells whether this instance is the one of its domain that watches the store.
  ConfigurationCache(const StateContext& context, std::function<bool()> should_watch,
                     ChangeCallback on_change = nullptr);
  ~ConfigurationCache();

  void Start();
  void Stop();

  // True once the store or a peer's whole cache has been read.
  bool Ready() const;
  // Highest revision up to which this cache is complete; gossiped to peers.
  Revision revision() const;
  std::optional<Contract> Find(const CustomerId& customer) const;
  std::vector<Contract> All() const;

  // For pulls between peers: all entries, deletions included, changed after `revision`.
  nlohmann::json EntriesAfter(Revision revision) const;
  // Merges a peer's answer to EntriesAfter. Entries older than those known are ignored.
  Result<void> MergeEntries(const nlohmann::json& entries);

  // Reads all contracts from the store.
  Result<void> Load();
  // Stores a contract whose present revision is `expected` (0: a new one) and returns it with its
  // new revision. kConflict names the present revision. kOutcomeUnknown: read the contract again.
  Result<Contract> Apply(const Contract& contract, Revision expected);

 private:
  // The newest version of one key. A version that does not parse keeps the previous contract in
  // force.
  struct Entry {
    Revision revision;
    bool deleted = false;
    std::string value;
    std::optional<Contract> contract;
  };
  void Run();
  bool Stopping() const;
  void PauseFor(absl::Duration duration);
  Result<void> WatchOnce();
  // Takes one version of a key over; returns false when a newer one is known.
  bool Take(const CustomerId& customer, Revision revision, bool deleted, const std::string& value);
  void TakeBatch(const WatchBatch& batch);
  void ReportStale(const CustomerId& customer, Revision offered, Revision known) const;
  boost::leaf::error_id Conflict(const CustomerId& customer, Revision expected);

  const StateContext context_;
  const std::function<bool()> should_watch_;
  const ChangeCallback on_change_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  // Serializes the calls of `on_change_`, so that they arrive by rising revision of each key.
  absl::Mutex announce_mutex_;
  std::map<CustomerId, Entry> entries_ ABSL_GUARDED_BY(mutex_);
  Revision revision_ ABSL_GUARDED_BY(mutex_);
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_CONFIGURATION_CACHE_H_
