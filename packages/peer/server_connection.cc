#include "peer/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kLingerStep = absl::Milliseconds(50);
constexpr int kLingerSteps = 10;
// Calls that found the queue full may find room after about one handler's run.
constexpr absl::Duration kOverloadedRetryAfter = absl::Milliseconds(100);

Http2Session::Options SessionOptions(ServerContext* context, const std::string& remote,
                                     Http2Listener* listener) {
  Http2Session::Options options;
  options.role = Http2Session::Role::kServer;
  options.listener = listener;
  options.counters = &context->peer.counters;
  options.link = context->peer.classify(remote);
  options.budget = &context->peer.budget;
  options.max_body_bytes = context->peer.limits.max_body_bytes;
  options.max_streams = context->peer.limits.max_streams_per_connection;
  return options;
}

}  // namespace

ServerConnection::ServerConnection(ServerContext* context, FileDescriptor socket,
                                   std::string remote)
    : context_(context),
      socket_(std::move(socket)),
      remote_(std::move(remote)),
      session_(SessionOptions(context, remote_, this)),
      accepted_(context->peer.clock->Now()),
      last_progress_(accepted_) {}

void ServerConnection::Run() {
  Serve();
  shutdown(socket_.get(), SHUT_RDWR);
  finished_ = true;
}

void ServerConnection::Drain(absl::Time deadline) {
  {
    absl::MutexLock lock(&mutex_);
    drain_ = true;
    drain_deadline_ = deadline;
  }
  wake_.Signal();
}

void ServerConnection::Serve() {
  while (true) {
    TakePosted();
    if (!session_.WriteTo(socket_)) {
      return;
    }
    if (!MayContinue(context_->peer.clock->Now())) {
      return;
    }
    const bool may_read = !session_.write_blocked();
    const Readiness ready = WaitFor(socket_, may_read, session_.wants_write(), &wake_, kMaxPoll);
    if (ready.readable && may_read && !session_.ReadFrom(socket_)) {
      // A protocol error leaves a GOAWAY with its reason to send.
      session_.WriteTo(socket_);
      return;
    }
    if (ready.readable || ready.writable) {
      last_progress_ = context_->peer.clock->Now();
    }
  }
}

void ServerConnection::TakePosted() {
  std::vector<Reply> replies;
  bool drain = false;
  absl::Time deadline;
  {
    absl::MutexLock lock(&mutex_);
    replies.swap(replies_);
    drain = drain_;
    deadline = drain_deadline_;
  }
  for (Reply& reply : replies) {
    --running_;
    session_.SendResponse(reply.stream, kStatusOk, std::move(reply.body));
  }
  if (!replies.empty()) {
    last_progress_ = context_->peer.clock->Now();
  }
  if (drain) {
    BeginGoAway(deadline);
  }
}

void ServerConnection::BeginGoAway(absl::Time deadline) {
  goaway_deadline_ = std::min(goaway_deadline_, deadline);
  if (!goaway_sent_) {
    goaway_sent_ = true;
    session_.SendGoAway();
  }
}

bool ServerConnection::MayContinue(absl::Time now) {
  const PeerLimits& limits = context_->peer.limits;
  const bool quiet = session_.open_streams() == 0 && running_ == 0;
  if (session_.finished() || (goaway_sent_ && quiet && !session_.wants_write())) {
    Linger();
    return false;
  }
  if (now >= goaway_deadline_ || (!proven_ && now >= accepted_ + limits.handshake_timeout)) {
    return false;
  }
  if (quiet && !session_.wants_write()) {
    if (now >= last_progress_ + limits.server_idle_timeout) {
      BeginGoAway(now + limits.stall_timeout);
    }
    return true;
  }
  return running_ > 0 || now < last_progress_ + limits.stall_timeout;
}

void ServerConnection::Linger() {
  shutdown(socket_.get(), SHUT_WR);
  std::array<char, 4096> discarded;
  for (int i = 0; i < kLingerSteps; ++i) {
    const Readiness ready = WaitFor(socket_, true, false, &wake_, kLingerStep);
    if (ready.readable && recv(socket_.get(), discarded.data(), discarded.size(), 0) <= 0) {
      return;
    }
  }
}

void ServerConnection::OnMessage(int32_t stream, Http2Message message) {
  const std::shared_ptr<const Http2Message> shared =
      std::make_shared<const Http2Message>(std::move(message));
  const std::string_view path = shared->path;
  constexpr size_t kPrefixSize = sizeof(kPathPrefix) - 1;
  if (path.substr(0, kPrefixSize) != kPathPrefix) {
    RefuseUnproven(stream, shared->from);
    return;
  }
  const std::optional<CallEnvelope> envelope =
      DecodeCall(context_->peer.key, path.substr(kPrefixSize), shared->from, shared->body);
  if (!envelope.has_value()) {
    RefuseUnproven(stream, shared->from);
    return;
  }
  const ReplayWindow::Verdict verdict = context_->replay_window.Check(
      envelope->time, context_->peer.hybrid_clock->Tick(), envelope->nonce);
  switch (verdict) {
    case ReplayWindow::Verdict::kReplayed:
      RefuseUnproven(stream, shared->from);
      return;
    case ReplayWindow::Verdict::kStale:
      Answer(stream, envelope->nonce, ReplyKind::kStale, "");
      return;
    case ReplayWindow::Verdict::kAhead:
      AnswerError(stream, envelope->nonce,
                  Error{ErrorKind::kUnauthenticated,
                        absl::StrCat("The clock of instance ", shared->from,
                                     " is more than 1 h ahead; correct that VM's clock."),
                        std::nullopt});
      return;
    case ReplayWindow::Verdict::kFresh:
      break;
  }
  proven_ = true;
  context_->peer.hybrid_clock->Observe(envelope->time);
  Dispatch(stream, shared, *envelope);
}

bool ServerConnection::OnMessageLeaving(int32_t) { return true; }

void ServerConnection::OnStreamClosed(int32_t, uint32_t) {}

void ServerConnection::RefuseUnproven(int32_t stream, const std::string& from) {
  // One event per connection, so that a stranger cannot flood the log over a connection.
  if (!failure_recorded_) {
    failure_recorded_ = true;
    context_->peer.events->Record(EventCode::kPeerAuthenticationFailed)
        .Peer(InstanceId(from))
        .With("address", remote_)
        .Emit();
  }
  session_.SendResponse(stream, kStatusUnauthenticated, "");
}

void ServerConnection::Dispatch(int32_t stream, const std::shared_ptr<const Http2Message>& message,
                                const CallEnvelope& envelope) {
  PeerCall call;
  call.from = InstanceId(message->from);
  call.method = std::string(envelope.method);
  call.deadline = context_->peer.clock->Now() + absl::Milliseconds(envelope.timeout_ms);
  WorkerPool* const pool =
      call.method == "heartbeat" ? context_->heartbeat_workers.get() : context_->workers.get();
  const bool accepted =
      pool->TrySubmit([self = shared_from_this(), stream, nonce = envelope.nonce,
                       call = std::move(call), message, size = envelope.payload.size()]() mutable {
        self->Handle(stream, nonce, std::move(call), *message, size);
      });
  if (accepted) {
    ++running_;
    return;
  }
  AnswerError(stream, envelope.nonce,
              Error{ErrorKind::kOverloaded,
                    "The instance has too many calls waiting and did not process this one; "
                    "retry later or at another instance.",
                    kOverloadedRetryAfter});
}

void ServerConnection::Handle(int32_t stream, const std::string& nonce, PeerCall call,
                              const Http2Message& message, size_t payload_size) {
  const Outcome<std::string> outcome = Capture([&]() -> Result<std::string> {  // NOLINT
    if (context_->peer.clock->Now() >= call.deadline) {
      return Fail(ErrorKind::kDeadlineExceeded,
                  "The call waited longer than its timeout and was not processed; retry with a "
                  "longer timeout.");
    }
    std::optional<nlohmann::json> body =
        DecodeBody(std::string_view(message.body).substr(message.body.size() - payload_size));
    if (!body.has_value()) {
      return Fail(ErrorKind::kInvalidArgument,
                  "The body of the call is not a MessagePack value of at most 64 levels; check "
                  "that both instances run compatible versions.");
    }
    call.body = std::move(*body);
    BOOST_LEAF_AUTO(reply, context_->handler(call));
    std::string encoded = EncodeBody(reply);
    if (static_cast<int64_t>(encoded.size()) + 64 > context_->peer.limits.max_body_bytes) {
      return Fail(ErrorKind::kInternal,
                  "The reply is larger than a peer message may be; ask for less at once.");
    }
    return encoded;
  });
  const ReplyKind kind = outcome.ok() ? ReplyKind::kBody : ReplyKind::kError;
  const std::string payload = outcome.ok() ? outcome.value() : EncodeError(outcome.error());
  Post(Reply{stream, Seal(nonce, kind, payload)});
}

void ServerConnection::Post(Reply reply) {
  {
    absl::MutexLock lock(&mutex_);
    replies_.push_back(std::move(reply));
  }
  wake_.Signal();
}

void ServerConnection::Answer(int32_t stream, const std::string& nonce, ReplyKind kind,
                              std::string_view payload) {
  session_.SendResponse(stream, kStatusOk, Seal(nonce, kind, payload));
}

void ServerConnection::AnswerError(int32_t stream, const std::string& nonce, const Error& error) {
  Answer(stream, nonce, ReplyKind::kError, EncodeError(error));
}

std::string ServerConnection::Seal(const std::string& nonce, ReplyKind kind,
                                   std::string_view payload) {
  ReplyEnvelope reply;
  reply.kind = kind;
  reply.time = context_->peer.hybrid_clock->Tick();
  reply.payload = payload;
  return EncodeReply(context_->peer.key, nonce, reply);
}

}  // namespace pomelotray
