#ifndef POMELOTRAY_PEER_SERVER_CONNECTION_H_
#define POMELOTRAY_PEER_SERVER_CONNECTION_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "peer/http2_session.h"
#include "peer/message_codec.h"
#include "peer/peer_context.h"
#include "peer/replay_window.h"
#include "peer/worker_pool.h"
#include "ports/peer_port.h"

namespace pomelotray {

// What all connections of a PeerServer share.
struct ServerContext {
  PeerContext peer;
  PeerHandler handler;
  ReplayWindow replay_window;
  std::unique_ptr<WorkerPool> workers;
  std::unique_ptr<WorkerPool> heartbeat_workers;
};

// One accepted connection. Run() is its thread; handlers run on the worker pools.
class ServerConnection : public Http2Listener,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(ServerContext* context, FileDescriptor socket, std::string remote);

  // Serves the connection until it is closed.
  void Run();
  // Refuses new streams, answers those in flight, and lets Run() return by `deadline`.
  void Drain(absl::Time deadline);
  bool finished() const { return finished_.load(); }

 private:
  struct Reply {
    int32_t stream = 0;
    std::string body;
  };

  void OnMessage(int32_t stream, Http2Message message) override;
  bool OnMessageLeaving(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error) override;

  void Serve();
  // Sends the replies that handlers have finished, and GOAWAY once a drain began.
  void TakePosted();
  // False when the connection has ended or outlived a limit.
  bool MayContinue(absl::Time now);
  void BeginGoAway(absl::Time deadline);
  void RefuseUnproven(int32_t stream, const std::string& from);
  void Dispatch(int32_t stream, const std::shared_ptr<const Http2Message>& message,
                const CallEnvelope& envelope);
  void Answer(int32_t stream, const std::string& nonce, ReplyKind kind, std::string_view payload);
  void AnswerError(int32_t stream, const std::string& nonce, const Error& error);
  // Runs on a worker thread.
  void Handle(int32_t stream, const std::string& nonce, PeerCall call, const Http2Message& message,
              size_t payload_size);
  void Post(Reply reply) ABSL_LOCKS_EXCLUDED(mutex_);
  std::string Seal(const std::string& nonce, ReplyKind kind, std::string_view payload);
  // Waits until the peer has read the last bytes: closing with unread input would discard them.
  void Linger();

  ServerContext* const context_;
  const FileDescriptor socket_;
  const std::string remote_;
  WakeEvent wake_;
  Http2Session session_;
  std::atomic<bool> finished_{false};

  // Used by the connection's thread only.
  const absl::Time accepted_;
  absl::Time last_progress_;
  bool proven_ = false;
  bool failure_recorded_ = false;
  bool goaway_sent_ = false;
  absl::Time goaway_deadline_ = absl::InfiniteFuture();
  size_t running_ = 0;

  absl::Mutex mutex_;
  std::vector<Reply> replies_ ABSL_GUARDED_BY(mutex_);
  bool drain_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time drain_deadline_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_SERVER_CONNECTION_H_
