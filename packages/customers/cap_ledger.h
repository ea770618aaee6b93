#ifndef POMELOTRAY_CUSTOMERS_CAP_LEDGER_H_
#define POMELOTRAY_CUSTOMERS_CAP_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "customers/cap_dimensions.h"
#include "customers/cap_messages.h"
#include "model/contract.h"

namespace pomelotray {

// The coordinator's division of the caps among the owners of the pool parts. For each part, it
// counts the largest allowance that the part's owner may have in force, and it allows an owner only
// what all others leave of the cap. So the sum never exceeds the cap, whatever happens to the
// messages. Used by one thread at a time.
class CapLedger {
 public:
  // A customer's use of its cap over all parts.
  struct CustomerTotal {
    Resources cap;
    Resources used;
    Resources waiting;
    // What is used and waits exceeds the cap.
    bool at_cap = false;
  };

  // `sequence` is the number of the first call. It must be above all that the same claim of the
  // coordinator's part has used.
  CapLedger(PartName coordinator, int64_t term, int64_t sequence);

  void SetContracts(const std::vector<Contract>& contracts);
  // Adds parts whose owners may have tasks running. Nothing beyond what the owners already have is
  // handed out until each part has reported or is vacant.
  void AddParts(const std::set<PartName>& parts);
  // Takes note that the part has no owner and that nothing can be running there.
  void MarkVacant(const PartName& part);
  // Removes a vacant part that no longer belongs to a pool.
  void RemovePart(const PartName& part);

  // Returns the next call to the owner of a part that was added. Its allowances are counted from
  // now on.
  CapCall MakeCall(const PartName& part, int64_t owner_term);
  // Takes an owner's answer. An answer that is older than the last one is ignored.
  void ApplyReport(const PartName& part, const CapReport& report);

  int64_t next_sequence() const { return sequence_; }
  std::set<PartName> Parts() const;
  bool KnowsAllParts() const;
  std::map<CustomerId, CustomerTotal> Totals() const;
  // Returns what the part's owner may let run for the customer, as far as the coordinator knows.
  CapAmounts Counted(const PartName& part, const CustomerId& customer) const;

 private:
  // Allowances of a call that the owner has not answered.
  struct SentGrants {
    int64_t sequence = 0;
    int64_t owner_term = 0;
    std::map<CustomerId, CapAmounts> allowances;
  };
  struct PartState {
    // The part has reported or is vacant.
    bool known = false;
    CapReport report;
    std::deque<SentGrants> sent;
    // What the earlier owner was counted with. Tasks that the owner inherited use no more.
    std::map<CustomerId, CapAmounts> inherited_limit;
    bool has_inherited_limit = false;
  };

  // Returns the use that a part reported, including inherited tasks.
  static CapAmounts UsedIn(const PartState& state, const CustomerId& customer);
  static CapAmounts CountedIn(const PartState& state, const CustomerId& customer);
  // Returns how the cap should be divided, regardless of what the owners still have.
  std::map<PartName, CapAmounts> Divide(const CustomerId& customer, const CapAmounts& cap) const;
  CapAmounts AllowanceFor(const PartName& part, const CustomerId& customer,
                          const CapAmounts& cap) const;

  const PartName coordinator_;
  const int64_t term_;
  int64_t sequence_;
  std::map<CustomerId, CapAmounts> caps_;
  std::set<CustomerId> customers_;
  std::map<PartName, PartState> parts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_LEDGER_H_
