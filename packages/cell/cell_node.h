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
#include "cell/advice_desk.h"
#include "cell/cell_membership.h"
#include "cell/cell_service.h"
#include "cell/part_count_chooser.h"
#include "cell/pool_owner.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace pomelotray {

// The outside systems and identity of one instance; all outlive it.
struct CellNodeContext {
  InstanceId id;
  // "ip:port" for calls of other instances.
  std::string peer_address;
  // Processor share of this VM in thousandths of a core.
  int64_t cpu_milli = 1000;
  PoolLimits limits;
  TransactionalStore* store = nullptr;
  WorkerDirectory* directory = nullptr;
  WorkerConnector* connector = nullptr;
  Adviser* adviser = nullptr;
  const Clock* clock = nullptr;
  HybridClock* hybrid_clock = nullptr;
  EventLog* events = nullptr;
};

// One instance of the cell scheduler: membership, the pools that it owns, and the service that
// callers use.
class CellNode {
 public:
  explicit CellNode(CellNodeContext context);
  ~CellNode();

  Result<void> Start();
  // Hands the pools over; callers are still served.
  void HandOver();
  void Stop();

  void ApplyConfiguration(std::shared_ptr<const CellConfiguration> configuration);
  CellService& service() { return *service_; }
  // A configuration is in force and jobs can be stored.
  bool IsReady() const;

 private:
  Result<std::string> SharedPeerKey();
  Result<void> StartPeers();
  void PartClaimed(const PartClaim& claim);
  void PartLost(const PartName& part);
  std::shared_ptr<PoolOwner> FindOwner(const PartName& part) const;
  Result<nlohmann::json> AnswerPeer(const PeerCall& call);
  // Asks each other member; false as soon as one reaches the store or does not answer.
  bool StoreIsDownForAll() const;
  // Stores the number of parts of pools that have none yet.
  void CountPools();
  void MaintenanceLoop();

  const CellNodeContext context_;
  TimerQueue timers_;
  std::unique_ptr<PeerClient> peer_client_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<AdviceDesk> advice_;
  std::unique_ptr<CellMembership> membership_;
  std::unique_ptr<CellService> service_;
  std::thread maintenance_;
  // Used by the maintenance thread only.
  PartCountChooser part_counts_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<PartName, std::shared_ptr<PoolOwner>> owners_ ABSL_GUARDED_BY(mutex_);
  // Won claims whose owners are to be started, and halted owners to be destroyed.
  std::vector<std::shared_ptr<PoolOwner>> starting_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::shared_ptr<PoolOwner>> retired_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_NODE_H_
