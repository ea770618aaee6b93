#include "cell/ownership/withdrawal_cleanup.h"

#include <algorithm>
#include <utility>

#include "cell/records/cell_keys.h"
#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

// Share of the retention after which the withdrawals are read again, which takes one or a few reads
// of the store.
constexpr double kIntervalShare = 0.2;
// Each withdrawal takes one condition and two removals in the transaction, besides the condition on
// the claim.
constexpr size_t kRemovalBatch = (kMaxTransactionEntries - 1) / 3;

}  // namespace

WithdrawalCleanup::WithdrawalCleanup(PartClaim claim, TransactionalStore* store, const Clock* clock,
                                     EventLog* events, absl::Duration retention)
    : claim_(std::move(claim)),
      store_(store),
      clock_(clock),
      events_(events),
      retention_(retention),
      // The first tasks of a new owner come first.
      next_run_(clock->Now() + retention * kIntervalShare) {}

void WithdrawalCleanup::Run() {
  if (clock_->Now() < next_run_) {
    return;
  }
  next_run_ = clock_->Now() + retention_ * kIntervalShare;
  const Outcome<StoreListing> listing =
      Capture([this] { return store_->ListAll(cell_keys::WithdrawnPrefix(claim_.part)); });
  if (!listing.ok()) {
    RecordStoreFailure(events_, "list of withdrawn job ids", listing.error());
    return;
  }
  const std::vector<std::string> expired = Update(listing.value());
  for (size_t begin = 0; begin < expired.size(); begin += kRemovalBatch) {
    const size_t end = std::min(begin + kRemovalBatch, expired.size());
    Remove({expired.begin() + static_cast<std::ptrdiff_t>(begin),
            expired.begin() + static_cast<std::ptrdiff_t>(end)});
  }
}

std::vector<std::string> WithdrawalCleanup::Update(const StoreListing& listing) {
  const absl::Time now = clock_->Now();
  std::map<std::string, Withdrawal> present;
  std::vector<std::string> expired;
  for (const StoreEntry& entry : listing.entries) {
    const auto known = withdrawals_.find(entry.key);
    const bool same = known != withdrawals_.end() && known->second.revision == entry.revision;
    const absl::Time first_seen = same ? known->second.first_seen : now;
    present[entry.key] = Withdrawal{entry.revision, first_seen};
    if (now - first_seen > retention_) {
      expired.push_back(entry.key);
    }
  }
  withdrawals_ = std::move(present);
  return expired;
}

void WithdrawalCleanup::Remove(const std::vector<std::string>& keys) {
  const std::string prefix = cell_keys::WithdrawnPrefix(claim_.part);
  StoreTransaction transaction = TransactionForClaim(claim_);
  for (const std::string& key : keys) {
    // Both entries of a withdrawal are always written together. One that has been renewed since it
    // was read must stay.
    const std::string id_entry = cell_keys::JobIdEntry(JobId(key.substr(prefix.size())));
    transaction.conditions.push_back(StoreCondition{id_entry, withdrawals_.at(key).revision});
    transaction.removals.push_back(id_entry);
    transaction.removals.push_back(key);
  }
  // What is left after a failure is removed by a later run.
  const Outcome<Revision> removed = Capture([&] { return store_->Commit(transaction); });
  if (!removed.ok()) {
    RecordStoreFailure(events_, "removal of withdrawn job ids", removed.error());
  }
}

}  // namespace pomelotray
