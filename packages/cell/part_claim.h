#ifndef POMELOTRAY_CELL_PART_CLAIM_H_
#define POMELOTRAY_CELL_PART_CLAIM_H_

#include <cstdint>
#include <string>

#include "cell/cell_keys.h"
#include "cell/part_assignment.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Who owns a part of a pool, as the store says.
struct PartClaim {
  PartName part;
  CellMember owner;
  // Differs for each start of the owner's process.
  std::string incarnation;
  // Rises with each claim; the fencing token of the owner.
  int64_t term = 0;
  // Of the claim's entry: a condition of each of the owner's writes.
  Revision revision;
};

// A transaction that the store carries out only while `claim` lasts.
inline StoreTransaction TransactionUnder(const PartClaim& claim) {
  StoreTransaction transaction;
  transaction.conditions = {StoreCondition{cell_keys::Claim(claim.part), claim.revision}};
  return transaction;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PART_CLAIM_H_
