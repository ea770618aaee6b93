#ifndef POMELOTRAY_PEER_CLIENT_CONNECTION_H_
#define POMELOTRAY_PEER_CLIENT_CONNECTION_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/error.h"
#include "peer/http2_session.h"
#include "peer/peer_context.h"

namespace pomelotray {

// One connection to another instance, shared by all calls to it. Run() is its thread; Exchange() is
// called from any thread.
class ClientConnection : public Http2Listener {
 public:
  ClientConnection(PeerContext* context, std::string address);

  // Connects and serves calls until the connection fails, idles or is closed.
  void Run();
  // Sends `data` and waits for the answer. Errors: kUnavailable when the peer did not receive the
  // whole request or refused it unprocessed, kOutcomeUnknown otherwise.
  Outcome<Http2Message> Exchange(const std::string& method, std::string data, absl::Time deadline);
  // Fails the calls in flight and lets Run() return.
  void Abort();
  // Accepts no new calls; Run() returns once those in flight have ended.
  void Retire();

  // True while new calls are accepted and the peer has not been silent for all of a call that timed
  // out. Such a connection may be dead although it is open.
  bool usable() const;
  bool finished() const { return finished_.load(); }

 private:
  struct Call {
    std::string method;
    std::string data;
    int32_t stream = -1;
    absl::Time sent;
    // The last byte was handed to the socket or may have been.
    bool leaving = false;
    // The caller no longer waits.
    bool abandoned = false;
    std::optional<Outcome<Http2Message>> outcome;
    absl::CondVar done;
  };

  void OnMessage(int32_t stream, Http2Message message) override;
  bool OnMessageLeaving(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error) override;

  // Empty on success.
  std::optional<Error> Connect(FileDescriptor* socket);
  void Serve(const FileDescriptor& socket);
  // Opens streams for queued calls and resets those of abandoned ones.
  void TakeQueued();
  bool MayContinue(absl::Time now);
  // Finishes all calls; those that may have reached the peer with kOutcomeUnknown.
  void FinishAll(const std::string& reason);
  void Finish(Call* call, Outcome<Http2Message> outcome) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Error FailureOf(const Call& call, const std::string& reason) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  PeerContext* const context_;
  const std::string address_;
  WakeEvent wake_;
  Http2Session session_;
  std::atomic<bool> finished_{false};

  // Used by the connection's thread only.
  absl::Time last_received_;
  absl::Time last_call_;
  bool pinged_ = false;
  bool used_ = false;
  bool goaway_sent_ = false;

  mutable absl::Mutex mutex_;
  bool closing_ ABSL_GUARDED_BY(mutex_) = false;
  bool aborted_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time last_heard_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // A call has timed out, and nothing has been received since it was sent.
  bool silent_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::shared_ptr<Call>> queue_ ABSL_GUARDED_BY(mutex_);
  std::vector<int32_t> abandoned_ ABSL_GUARDED_BY(mutex_);
  std::map<int32_t, std::shared_ptr<Call>> calls_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_CLIENT_CONNECTION_H_
