#ifndef POMELOTRAY_CELL_INTAKE_CALLER_AUTHORIZATION_H_
#define POMELOTRAY_CELL_INTAKE_CALLER_AUTHORIZATION_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "cell/cell_configuration.h"

namespace pomelotray {

// What a call may do, decided by the configuration in effect when the call arrived.
struct CallerRights {
  // The customer to which a job that the call submits belongs; empty if there is none.
  CustomerId submits_for;
  // What that customer's tasks may use on all workers together; no value if there is no customer.
  std::optional<Resources> cap;
  // The customer of the API key that the call carries; empty if there is none.
  CustomerId customer;
  // The configuration names no customers, so that no job is hidden.
  bool sees_all_jobs = true;

  // Whether the call may read and cancel a job of the customer `owner`. Jobs without a customer
  // are open to all.
  bool MaySee(const CustomerId& owner) const {
    return sees_all_jobs || owner.empty() || owner == customer;
  }
};

// Checks the API key of a call of a queue. `authorization` is the value of the call's Authorization
// header, or empty. Fails with kUnauthenticated if the queue needs a key and the call has none that
// the configuration holds. The error does not contain the key. Thread-safe.
Result<CallerRights> AuthorizeCaller(const CellConfiguration& configuration,
                                     const QueueRoute& route, const std::string& authorization);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_CALLER_AUTHORIZATION_H_
