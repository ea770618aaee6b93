#ifndef POMELOTRAY_CELL_MEMBERSHIP_PART_CLAIM_H_
#define POMELOTRAY_CELL_MEMBERSHIP_PART_CLAIM_H_

#include <cstdint>
#include <string>

#include "cell/membership/part_assignment.h"
#include "cell/records/cell_keys.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// The ownership of one part of a pool, as recorded in the store.
struct PartClaim {
  PartName part;
  CellMember owner;
  // Identifies one run of the owner's process: a restart gets a new value.
  std::string incarnation;
  // Increases with each claim of the part. The owner uses it as its fencing token.
  int64_t term = 0;
  // Revision of the claim's entry in the store. Each write by the owner is conditional on it.
  Revision revision;
  // The entry ends with a lease of its owner.
  bool leased = true;
};

// Returns an empty transaction that the store commits only if `claim` is still in force.
inline StoreTransaction TransactionForClaim(const PartClaim& claim) {
  StoreTransaction transaction;
  transaction.conditions = {StoreCondition{cell_keys::Claim(claim.part), claim.revision}};
  return transaction;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_PART_CLAIM_H_
