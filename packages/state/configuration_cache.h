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
#include "base/reported_faults.h"
#include "model/contract.h"
#include "state/state_context.h"

namespace pomelotray {

// Caches the contracts known to this instance. Of each key the highest revision is kept; an entry
// is never replaced by an older revision. Thread-safe.
class ConfigurationCache {
 public:
  // Called after each change with the contract in force, or with nullopt if the contract was
  // deleted. The callback runs under a lock and must not modify this cache.
  using ChangeCallback = std::function<void(const CustomerId&, const std::optional<Contract>&)>;

  // `should_watch` returns whether this instance is the one in its failure domain that watches the
  // store.
  ConfigurationCache(const StateContext& context, std::function<bool()> should_watch,
                     ChangeCallback on_change = nullptr);
  ~ConfigurationCache();

  void Start();
  void Stop();

  // Returns true once all contracts have been read from the store or from a peer's complete cache.
  bool Ready() const;
  // Returns the highest revision up to which this cache is complete. Peers learn it by gossip.
  Revision revision() const;
  std::optional<Contract> Find(const CustomerId& customer) const;
  std::vector<Contract> All() const;

  // Returns all entries that changed after `revision`, including deletions, for a peer that pulls
  // them.
  nlohmann::json EntriesAfter(Revision revision) const;
  // Merges the result of a peer's EntriesAfter(). Entries older than the cached ones are ignored.
  // Malformed ones are left out and logged once.
  Result<void> MergeEntries(const nlohmann::json& entries);

  // Reads all contracts from the store.
  Result<void> Load();
  // Stores a contract whose current revision is `expected`, or 0 for a new contract, and returns it
  // with its new revision. A kConflict error names the current revision. After kOutcomeUnknown the
  // caller must read the contract again to learn whether it was stored.
  Result<Contract> Apply(const Contract& contract, Revision expected);

 private:
  // The newest version of one key. If its value cannot be parsed, `contract` keeps the previous
  // contract, which stays in force.
  struct Entry {
    Revision revision;
    bool deleted = false;
    std::string value;
    std::optional<Contract> contract;
  };
  void Run();
  bool Stopping() const;
  void WaitUnlessStopping(absl::Duration duration);
  Result<void> WatchOnce();
  // Stores one version of a key in the cache. Returns false if the cache already has this or a
  // newer version.
  bool AcceptVersion(const CustomerId& customer, Revision revision, bool deleted,
                     const std::string& value);
  void AcceptBatch(const WatchBatch& batch);
  void RecordStaleVersion(const CustomerId& customer, Revision offered, Revision known) const;
  boost::leaf::error_id MakeConflictError(const CustomerId& customer, Revision expected);

  const StateContext context_;
  const std::function<bool()> should_watch_;
  const ChangeCallback on_change_;
  mutable absl::Mutex mutex_;
  absl::CondVar wake_;
  // Serializes the calls of `on_change_`, so that the revisions of each key arrive in ascending
  // order.
  absl::Mutex change_callback_mutex_;
  ReportedFaults peer_faults_;
  std::map<CustomerId, Entry> entries_ ABSL_GUARDED_BY(mutex_);
  Revision revision_ ABSL_GUARDED_BY(mutex_);
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_CONFIGURATION_CACHE_H_
