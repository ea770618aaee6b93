#ifndef POMELOTRAY_CELL_STORE_STORE_AVAILABILITY_H_
#define POMELOTRAY_CELL_STORE_STORE_AVAILABILITY_H_

namespace pomelotray {

// What this instance knows about the store. Thread-safe.
class StoreAvailability {
 public:
  virtual ~StoreAvailability() = default;

  // Returns whether the store answered the last lease call and no failed write was reported since.
  virtual bool IsStoreAvailable() const = 0;
  // Reports that a write was refused or got no answer. The store counts as unavailable until the
  // next successful renewal, which is attempted at once.
  virtual void ReportStoreFailure() = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_STORE_AVAILABILITY_H_
