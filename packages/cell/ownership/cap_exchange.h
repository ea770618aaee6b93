#ifndef POMELOTRAY_CELL_OWNERSHIP_CAP_EXCHANGE_H_
#define POMELOTRAY_CELL_OWNERSHIP_CAP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/cell_configuration.h"
#include "cell/membership/part_claim.h"
#include "cell/ownership/cap_owner.h"
#include "cell/ownership/cap_usage_log.h"
#include "customers/cap_ledger.h"
#include "ports/peer_port.h"

namespace pomelotray {

// The dependencies of a CapExchange. All must outlive it; the functions may be called on any
// thread.
struct CapExchangeContext {
  InstanceId self;
  PeerPort* peers = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
  // The claim of a part, and the number of parts of a pool, as far as this instance knows them.
  std::function<std::optional<PartClaim>(const PartName&)> claim_of;
  std::function<std::optional<int>(const PoolName&)> part_count;
  // Returns the owner of a part that this instance owns, or null.
  std::function<std::shared_ptr<CapOwner>(const PartName&)> find_owner;
};

// Exchanges the allowances of the customers between the owners of all pool parts. The instance that
// owns the first part is the coordinator: it calls the owner of each part at a fixed interval.
// Thread-safe.
class CapExchange {
 public:
  // Interval of the calls to each owner.
  static constexpr absl::Duration kInterval = absl::Milliseconds(100);

  explicit CapExchange(CapExchangeContext context);
  ~CapExchange();

  // Starts the thread that runs the rounds. It is idle while the configuration has no cap.
  void Start();
  void Stop();
  void SetConfiguration(std::shared_ptr<const CellConfiguration> configuration);

  // Calls all owners once if this instance is the coordinator. Called by the thread, or by a test
  // that has not started it.
  void RunRound();
  // Answers the peer call "caps" for a part that this instance owns. Errors: kFenced if the caller
  // is not the coordinator as far as this instance knows, and those of CapOwner::ExchangeCaps().
  Result<nlohmann::json> Answer(const PeerCall& call);

 private:
  void Loop();
  std::shared_ptr<const CellConfiguration> configuration() const;
  std::set<PartName> PartsOf(const CellConfiguration& configuration) const;
  // Returns the claim of the coordinator's part if this instance is the coordinator.
  std::optional<PartClaim> OwnCoordinatorClaim(const std::set<PartName>& parts) const;
  void EndCoordination();
  // Makes the ledger that of the claim, for the parts and contracts of the configuration.
  void PrepareLedger(const PartClaim& claim, const CellConfiguration& configuration,
                     const std::set<PartName>& parts);
  void CallOwner(const PartName& part, const PartClaim& claim);
  Result<CapReport> SendCall(const CapCall& call, const PartClaim& claim);
  // Takes note that the part has no owner. Returns whether nothing can be running there any more.
  bool IsVacant(const PartName& part);

  const CapExchangeContext context_;

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::shared_ptr<const CellConfiguration> configuration_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;

  // The members below are used by RunRound() only.
  std::unique_ptr<CapLedger> ledger_;
  PartName ledger_part_;
  int64_t ledger_term_ = 0;
  int64_t ledger_version_ = 0;
  // Numbers the calls of all ledgers of this instance, so that none repeats a number.
  int64_t next_sequence_ = 1;
  std::map<PartName, absl::Time> unowned_since_;
  // When the owner of a part that did not answer is called again.
  std::map<PartName, absl::Time> retry_at_;
  CapUsageLog usage_log_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_CAP_EXCHANGE_H_
