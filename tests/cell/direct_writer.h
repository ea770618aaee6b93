#ifndef POMELOTRAY_TESTS_CELL_DIRECT_WRITER_H_
#define POMELOTRAY_TESTS_CELL_DIRECT_WRITER_H_

#include "cell/intake/entry_creation.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Creates entries with one call of the store, in the caller's thread and without retries.
class DirectWriter : public EntryWriter {
 public:
  explicit DirectWriter(TransactionalStore* store) : store_(store) {}

  Result<bool> Create(const EntryCreation& creation, const CreationLimits&) override {
    StoreTransaction transaction;
    AddCreation(creation, &transaction);
    const Outcome<Revision> written = Capture([&] { return store_->Commit(transaction); });
    if (!written.ok() && written.error().kind != ErrorKind::kConflict) {
      return Fail(written.error());
    }
    return written.ok();
  }

 private:
  TransactionalStore* const store_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_DIRECT_WRITER_H_
