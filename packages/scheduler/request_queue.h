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

// The queued requests and slots in use of one customer.
struct CustomerRequests {
  CustomerId customer;
  // Queued requests, ordered by deadline.
  absl::btree_set<std::pair<absl::Time, RequestId>> waiting;
  int64_t slots_in_use = 0;

  bool IsActive() const { return !waiting.empty() || slots_in_use > 0; }
};

// Holds the queued requests and the number of slots in use of each customer. Thread-compatible.
class RequestQueue {
 public:
  using Customers = absl::btree_map<CustomerId, CustomerRequests>;

  void Insert(const CustomerId& customer, absl::Time deadline, const RequestId& request);
  // Removes a queued request.
  void Erase(const CustomerId& customer, absl::Time deadline, const RequestId& request);
  void TakeSlot(const CustomerId& customer);
  void FreeSlot(const CustomerId& customer);

  // Contains only customers with queued requests or slots in use.
  const Customers& customers() const { return customers_; }
  const CustomerRequests* Find(const CustomerId& customer) const;
  // The number of queued requests of all customers.
  size_t size() const { return size_; }

 private:
  // Returns the entry of the customer and creates it if necessary.
  CustomerRequests& Entry(const CustomerId& customer);
  void EraseIfIdle(const CustomerId& customer);

  Customers customers_;
  size_t size_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_REQUEST_QUEUE_H_
