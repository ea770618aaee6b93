#include "scheduler/request_queue.h"

namespace pomelotray {

CustomerRequests& RequestQueue::Entry(const CustomerId& customer) {
  CustomerRequests& entry = customers_[customer];
  entry.customer = customer;
  return entry;
}

void RequestQueue::Insert(const CustomerId& customer, absl::Time deadline,
                          const RequestId& request) {
  if (Entry(customer).waiting.emplace(deadline, request).second) {
    ++size_;
  }
}

void RequestQueue::Erase(const CustomerId& customer, absl::Time deadline,
                         const RequestId& request) {
  size_ -= Entry(customer).waiting.erase(std::make_pair(deadline, request));
  EraseIfIdle(customer);
}

void RequestQueue::TakeSlot(const CustomerId& customer) { ++Entry(customer).slots_in_use; }

void RequestQueue::FreeSlot(const CustomerId& customer) {
  --Entry(customer).slots_in_use;
  EraseIfIdle(customer);
}

const CustomerRequests* RequestQueue::Find(const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() ? &it->second : nullptr;
}

void RequestQueue::EraseIfIdle(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it != customers_.end() && !it->second.IsActive()) {
    customers_.erase(it);
  }
}

}  // namespace pomelotray
