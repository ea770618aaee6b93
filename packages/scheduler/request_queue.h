#ifndef POMELOTRAY_SCHEDULER_REQUEST_QUEUE_H_
#define POMELOTRAY_SCHEDULER_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// The requests of one customer.
struct CustomerRequests {
  CustomerId customer;
  // Earliest deadline first.
  absl::btree_set<std::pair<absl::Time, RequestId>> waiting;
  int64_t slots_in_use = 0;

  bool IsActive() const { return !waiting.empty() || slots_in_use > 0; }
};

// Queued requests and slots in use per customer. Thread-compatible.
class RequestQueue {
 public:
  using Customers = absl::btree_map<CustomerId, CustomerRequests>;

  void Insert(const CustomerId& customer, absl::Time deadline, const RequestId& request);
  // Removes a request that waits.
  void Erase(const CustomerId& customer, absl::Time deadline, const RequestId& request);
  void TakeSlot(const CustomerId& customer);
  void FreeSlot(const CustomerId& customer);

  // Only customers with waiting requests or slots in use.
  const Customers& customers() const { return customers_; }
  const CustomerRequests* Find(const CustomerId& customer) const;
  size_t size() const { return size_; }

 private:
  CustomerRequests& Entry(const CustomerId& customer);
  void EraseIfIdle(const CustomerId& customer);

  Customers customers_;
  size_t size_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_REQUEST_QUEUE_H_
