#ifndef POMELOTRAY_CELL_STORE_OBSERVED_STORE_H_
#define POMELOTRAY_CELL_STORE_OBSERVED_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/store/revision_history.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Passes all calls on to another store and notes the revisions that its answers show.
class ObservedStore : public TransactionalStore {
 public:
  // Both must outlive the store.
  ObservedStore(TransactionalStore* store, const Clock* clock) : store_(store), clock_(clock) {}

  const RevisionHistory& history() const { return history_; }

  Result<std::optional<StoreEntry>> Get(const std::string& key) override;
  Result<std::vector<StoreEntry>> List(const std::string& prefix) override;
  Result<StoreListing> ListAll(const std::string& prefix) override;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value,
                                  const std::optional<StoreLeaseId>& lease) override;
  using StorePort::CompareAndSwap;
  Result<void> Delete(const std::string& key, Revision expected) override;
  Result<Revision> Commit(const StoreTransaction& transaction) override;
  Result<WatchBatch> Watch(const std::string& prefix, Revision after, absl::Duration wait) override;
  Result<StoreLeaseId> GrantLease(absl::Duration ttl) override;
  Result<void> KeepAlive(const StoreLeaseId& lease) override;
  Result<void> RevokeLease(const StoreLeaseId& lease) override;

 private:
  void Note(Revision revision) { history_.Note(revision, clock_->Now()); }

  TransactionalStore* const store_;
  const Clock* const clock_;
  RevisionHistory history_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_OBSERVED_STORE_H_
