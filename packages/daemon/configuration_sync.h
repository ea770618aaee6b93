#ifndef POMELOTRAY_DAEMON_CONFIGURATION_SYNC_H_
#define POMELOTRAY_DAEMON_CONFIGURATION_SYNC_H_

#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "peer/membership.h"
#include "ports/peer_port.h"
#include "state/configuration_cache.h"

namespace pomelotray {

// Pulls the configuration from the live instance with the highest revision if it is newer than that
// of this instance, or if this instance has not read the configuration yet.
class ConfigurationSync {
 public:
  ConfigurationSync(PeerPort* peers, Membership* membership, ConfigurationCache* cache,
                    const Clock* clock);
  ~ConfigurationSync();

  void Start();
  void Stop();
  // Starts a check at once. Called when gossip announces a higher revision.
  void Wake();

 private:
  void Run();
  void PullOnce();

  PeerPort* const peers_;
  Membership* const membership_;
  ConfigurationCache* const cache_;
  const Clock* const clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool wake_requested_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_CONFIGURATION_SYNC_H_
