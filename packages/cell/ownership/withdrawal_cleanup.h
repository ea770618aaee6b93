#ifndef POMELOTRAY_CELL_OWNERSHIP_WITHDRAWAL_CLEANUP_H_
#define POMELOTRAY_CELL_OWNERSHIP_WITHDRAWAL_CLEANUP_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/membership/part_claim.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Removes the withdrawals of ids (JobIdRecord) of one pool part once they are older than the
// retention. The store does not tell ages, so the age counts from when this owner has first seen
// the withdrawal; each owner begins anew. Not thread-safe.
class WithdrawalCleanup {
 public:
  WithdrawalCleanup(PartClaim claim, TransactionalStore* store, const Clock* clock,
                    EventLog* events, absl::Duration retention);

  // Reads the withdrawals if that is due, and removes the expired ones. Called often.
  void Run();

 private:
  // A withdrawal that is renewed has another revision and begins its retention anew.
  struct Withdrawal {
    Revision revision;
    absl::Time first_seen;
  };

  // Returns the keys of expired withdrawals.
  std::vector<std::string> Update(const StoreListing& listing);
  void Remove(const std::vector<std::string>& keys);

  const PartClaim claim_;
  TransactionalStore* const store_;
  const Clock* const clock_;
  EventLog* const events_;
  const absl::Duration retention_;
  absl::Time next_run_ = absl::InfinitePast();
  // By key.
  std::map<std::string, Withdrawal> withdrawals_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_WITHDRAWAL_CLEANUP_H_
