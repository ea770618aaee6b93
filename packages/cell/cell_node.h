#ifndef POMELOTRAY_CELL_CELL_NODE_H_
#define POMELOTRAY_CELL_CELL_NODE_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/timer_queue.h"
#include "cell/advice/advice_dispatcher.h"
#include "cell/intake/cell_service.h"
#include "cell/intake/configuration_exchange.h"
#include "cell/membership/cell_membership.h"
#include "cell/membership/part_count_chooser.h"
#include "cell/ownership/cap_exchange.h"
#include "cell/ownership/owner_disposal.h"
#include "cell/ownership/pool_owner.h"
#include "cell/store/observed_store.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace pomelotray {

// Identity of one instance and the external services it uses. The objects behind the pointers must
// outlive the instance.
struct CellNodeContext {
  InstanceId id;
  // "ip:port" at which other instances reach this one.
  std::string peer_address;
  // CPU share of this VM in thousandths of a core.
  int64_t cpu_milli = 1000;
  PoolLimits limits;
  TransactionalStore* store = nullptr;
  WorkerDirectory* directory = nullptr;
  WorkerConnector* connector = nullptr;
  Adviser* adviser = nullptr;
  const Clock* clock = nullptr;
  HybridClock* hybrid_clock = nullptr;
  EventLog* events = nullptr;
  // Reads a configuration document that another instance sent and passes it to
  // CellNode::ApplyConfiguration(). Without it, documents of other instances are ignored.
  ConfigurationExchange::ApplyDocument apply_document;
};

// One instance of the cell scheduler. Combines the membership, the owners of the parts that this
// instance has claimed, and the service that callers use.
class CellNode {
 public:
  explicit CellNode(CellNodeContext context);
  ~CellNode();

  Result<void> Start();
  // Stops scheduling and releases all claims so that other instances take over. Callers are still
  // served.
  void HandOver();
  void Stop();

  // Puts a configuration into effect unless the one in effect has the same or a higher version.
  // Returns whether it did. `document` is its text, which other instances get on request; they get
  // none if it is empty. Thread-safe.
  bool ApplyConfiguration(const std::shared_ptr<const CellConfiguration>& configuration,
                          std::string document = "");
  // Takes note that the store has answered the watch of the configuration. Thread-safe.
  void NoteConfigurationWatchAnswered() { configuration_exchange_->NoteWatchAnswered(); }
  // Returns for how long the configuration in effect has not been known to be the newest one;
  // infinite before the first one. Thread-safe after Start().
  absl::Duration ConfigurationAge() const { return configuration_exchange_->Age(); }
  CellService& service() { return *service_; }
  // Returns whether a configuration is in force and the store is available for new jobs.
  bool IsReady() const;

 private:
  // Returns the key with which instances authenticate to each other. Creates it in the store if no
  // instance has done so yet.
  Result<std::string> SharedPeerKey();
  Result<void> StartPeers();
  std::unique_ptr<CapExchange> MakeCapExchange();
  void OnPartClaimed(const PartClaim& claim);
  void OnPartLost(const PartName& part);
  std::shared_ptr<PoolOwner> FindOwner(const PartName& part) const;
  std::vector<std::shared_ptr<PoolOwner>> Owners() const;
  Result<nlohmann::json> AnswerPeer(const PeerCall& call);
  // Asks the other members one by one whether the store is available to them. Returns false as soon
  // as a member says that it is or does not answer.
  bool IsStoreDownForAllMembers() const;
  // Chooses and stores the part count of each pool that has none yet.
  void StoreMissingPartCounts();
  void MaintenanceLoop();

  const CellNodeContext context_;
  ObservedStore store_;
  TimerQueue timers_;
  std::unique_ptr<PeerClient> peer_client_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<AdviceDispatcher> advice_;
  std::unique_ptr<CellMembership> membership_;
  std::unique_ptr<CapExchange> caps_;
  std::unique_ptr<CellService> service_;
  std::unique_ptr<ConfigurationExchange> configuration_exchange_;
  std::thread maintenance_thread_;
  // Used only by the maintenance thread.
  PartCountChooser part_count_chooser_;
  // Held while a configuration is put into effect, so that no older one can follow it, and while a
  // new owner receives the configuration in effect.
  absl::Mutex configuration_mutex_ ABSL_ACQUIRED_BEFORE(mutex_);
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<PartName, std::shared_ptr<PoolOwner>> owners_ ABSL_GUARDED_BY(mutex_);
  // Owners of newly claimed parts, to be started by the maintenance thread.
  std::vector<std::shared_ptr<PoolOwner>> owners_to_start_ ABSL_GUARDED_BY(mutex_);
  OwnerDisposal disposal_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_NODE_H_
