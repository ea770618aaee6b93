#ifndef POMELOTRAY_CELL_INTAKE_CONFIGURATION_EXCHANGE_H_
#define POMELOTRAY_CELL_INTAKE_CONFIGURATION_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/strong_id.h"
#include "cell/membership/part_assignment.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Fetches the operators' configuration from other instances while the store does not answer this
// instance's own watch, and answers their requests for it. Thread-safe.
class ConfigurationExchange {
 public:
  // The store answers a watch of the configuration within this time, so that a silence of 1 s means
  // that it turns this instance away.
  static constexpr absl::Duration kWatchWait = absl::Milliseconds(600);

  using ListMembers = std::function<std::vector<CellMember>()>;
  // Reads a document that the instance `peer` sent and puts it into effect if it is newer, which
  // includes a call of SetDocument(). Called on the thread of the exchange without locks.
  using ApplyDocument = std::function<void(const std::string& document, const InstanceId& peer)>;

  ConfigurationExchange(InstanceId self, PeerPort* peers, const Clock* clock, EventLog* events,
                        ListMembers list_members, ApplyDocument apply_document);
  ~ConfigurationExchange();

  void Start();
  void Stop();

  // Takes note that the store has answered the watch, after its answer was put into effect.
  void NoteWatchAnswered();
  // Sets the version in effect and its text, which is empty if it is not known. With `asks_peers`
  // false, this instance answers other instances but does not ask them.
  void SetDocument(int64_t version, std::string document, bool asks_peers);
  // Returns for how long the version in effect has not been known to be the newest one. Infinite if
  // it never was.
  absl::Duration Age() const;
  // Answers the peer call "configuration". Fails with kInvalidArgument if the call cannot be read.
  Result<nlohmann::json> Answer(const nlohmann::json& body) const;

  // One round: asks some peers, one after the other, until one has current information, if the
  // watch has not been answered for 1 s. Called by the thread of the exchange, or by a test that
  // does not start it.
  void AskPeersIfSilent();

 private:
  // The version of an instance without a configuration.
  static constexpr int64_t kNoVersion = -1;

  void Run();
  // Returns whether the next round must ask, and logs the beginning of a silence.
  bool IsSilent();
  std::vector<CellMember> Peers() const;
  // Returns whether the peer has current information, which is then in effect here.
  bool AskPeer(const CellMember& peer);
  int64_t version() const;

  const InstanceId self_;
  PeerPort* const peers_;
  const Clock* const clock_;
  EventLog* const events_;
  const ListMembers list_members_;
  const ApplyDocument apply_document_;
  // Position in Peers() of the next one to ask. Used only by AskPeersIfSilent().
  size_t next_peer_ = 0;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool asks_peers_ ABSL_GUARDED_BY(mutex_) = true;
  bool silent_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t version_ ABSL_GUARDED_BY(mutex_) = kNoVersion;
  std::string document_ ABSL_GUARDED_BY(mutex_);
  // When the store last answered the watch; initially the start of the exchange.
  absl::Time watch_answered_at_ ABSL_GUARDED_BY(mutex_);
  // Latest time at which the version in effect is known to have been the newest one.
  absl::Time known_newest_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_CONFIGURATION_EXCHANGE_H_
