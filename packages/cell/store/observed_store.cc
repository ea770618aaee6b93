#include "cell/store/observed_store.h"

namespace pomelotray {

Result<std::optional<StoreEntry>> ObservedStore::Get(const std::string& key) {
  BOOST_LEAF_AUTO(entry, store_->Get(key));
  if (entry.has_value()) {
    Note(entry->revision);
  }
  return entry;
}

Result<std::vector<StoreEntry>> ObservedStore::List(const std::string& prefix) {
  return store_->List(prefix);
}

Result<StoreListing> ObservedStore::ListAll(const std::string& prefix) {
  BOOST_LEAF_AUTO(listing, store_->ListAll(prefix));
  Note(listing.as_of);
  return listing;
}

Result<Revision> ObservedStore::CompareAndSwap(const std::string& key, Revision expected,
                                               const std::string& value,
                                               const std::optional<StoreLeaseId>& lease) {
  BOOST_LEAF_AUTO(revision, store_->CompareAndSwap(key, expected, value, lease));
  Note(revision);
  return revision;
}

Result<void> ObservedStore::Delete(const std::string& key, Revision expected) {
  return store_->Delete(key, expected);
}

Result<Revision> ObservedStore::Commit(const StoreTransaction& transaction) {
  BOOST_LEAF_AUTO(revision, store_->Commit(transaction));
  Note(revision);
  return revision;
}

Result<WatchBatch> ObservedStore::Watch(const std::string& prefix, Revision after,
                                        absl::Duration wait) {
  BOOST_LEAF_AUTO(batch, store_->Watch(prefix, after, wait));
  Note(batch.next);
  return batch;
}

Result<StoreLeaseId> ObservedStore::GrantLease(absl::Duration ttl) {
  return store_->GrantLease(ttl);
}

Result<void> ObservedStore::KeepAlive(const StoreLeaseId& lease) {
  return store_->KeepAlive(lease);
}

Result<void> ObservedStore::RevokeLease(const StoreLeaseId& lease) {
  return store_->RevokeLease(lease);
}

}  // namespace pomelotray
