#include "peer/client_connection.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

Http2Session::Options SessionOptions(PeerContext* context, const std::string& address,
                                     Http2Listener* listener) {
  Http2Session::Options options;
  options.role = Http2Session::Role::kClient;
  options.listener = listener;
  options.counters = &context->counters;
  options.link = context->classify(address);
  options.budget = &context->budget;
  options.max_body_bytes = context->limits.max_body_bytes;
  return options;
}

}  // namespace

ClientConnection::ClientConnection(PeerContext* context, std::string address)
    : context_(context),
      address_(std::move(address)),
      session_(SessionOptions(context, address_, this)),
      last_received_(context->clock->Now()),
      last_call_(last_received_) {}

void ClientConnection::Run() {
  FileDescriptor socket;
  const std::optional<Error> failure = Connect(&socket);
  if (failure.has_value()) {
    FinishAll(failure->message);
  } else {
    Serve(socket);
    FinishAll(absl::StrCat("The connection to ", address_, " ended."));
  }
  finished_ = true;
}

Outcome<Http2Message> ClientConnection::Exchange(const std::string& method, std::string data,
                                                 absl::Time deadline) {
  const std::shared_ptr<Call> call = std::make_shared<Call>();
  call->method = method;
  call->data = std::move(data);
  absl::MutexLock lock(&mutex_);
  if (closing_ || queue_.size() + calls_.size() >= context_->limits.max_streams_per_connection) {
    return Error{ErrorKind::kUnavailable,
                 absl::StrCat("The connection to ", address_,
                              " takes no more calls; the call was not sent, retry it."),
                 absl::Milliseconds(100)};
  }
  queue_.push_back(call);
  wake_.Signal();
  while (!call->outcome.has_value()) {
    if (context_->clock->WaitUntil(&call->done, &mutex_, deadline) && !call->outcome.has_value()) {
      call->abandoned = true;
      if (call->stream >= 0) {
        abandoned_.push_back(call->stream);
        silent_ = silent_ || last_heard_ < call->sent;
      }
      wake_.Signal();
      return FailureOf(*call, absl::StrCat("No answer from ", address_, " within the timeout."));
    }
  }
  return *std::move(call->outcome);
}

void ClientConnection::Abort() {
  {
    absl::MutexLock lock(&mutex_);
    closing_ = true;
    aborted_ = true;
  }
  wake_.Signal();
}

void ClientConnection::Retire() {
  {
    absl::MutexLock lock(&mutex_);
    closing_ = true;
  }
  wake_.Signal();
}

bool ClientConnection::usable() const {
  absl::MutexLock lock(&mutex_);
  return !closing_ && !silent_;
}

std::optional<Error> ClientConnection::Connect(FileDescriptor* socket) {
  const Outcome<void> begun = Capture([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(*socket, BeginConnect(address_));
    return {};
  });
  if (!begun.ok()) {
    return begun.error();
  }
  const absl::Time deadline = context_->clock->Now() + context_->limits.connect_timeout;
  while (true) {
    const absl::Duration left = deadline - context_->clock->Now();
    {
      absl::MutexLock lock(&mutex_);
      if (aborted_ || left <= absl::ZeroDuration()) {
        return Error{ErrorKind::kUnavailable,
                     absl::StrCat("Connecting to ", address_, " took too long."), std::nullopt};
      }
    }
    const Readiness ready = WaitFor(*socket, false, true, &wake_, std::min(left, kMaxPoll));
    if (!ready.writable) {
      continue;
    }
    const int error = SocketError(*socket);
    if (error == 0) {
      return std::nullopt;
    }
    return Error{ErrorKind::kUnavailable,
                 absl::StrCat("Could not connect to ", address_, " (", std::strerror(error), ")."),
                 std::nullopt};
  }
}

void ClientConnection::Serve(const FileDescriptor& socket) {
  last_received_ = context_->clock->Now();
  while (true) {
    TakeQueued();
    if (!session_.WriteTo(socket) || !MayContinue(context_->clock->Now())) {
      return;
    }
    const bool may_read = !session_.write_blocked();
    const Readiness ready = WaitFor(socket, may_read, session_.wants_write(), &wake_, kMaxPoll);
    if (ready.readable && may_read) {
      if (!session_.ReadFrom(socket)) {
        return;
      }
      last_received_ = context_->clock->Now();
      pinged_ = false;
      absl::MutexLock lock(&mutex_);
      last_heard_ = last_received_;
      silent_ = false;
    }
  }
}

void ClientConnection::TakeQueued() {
  absl::MutexLock lock(&mutex_);
  for (const std::shared_ptr<Call>& call : queue_) {
    if (call->abandoned) {
      continue;
    }
    // Time without a call is no silence of the peer.
    if (calls_.empty() && !silent_) {
      last_received_ = context_->clock->Now();
    }
    call->sent = context_->clock->Now();
    call->stream =
        session_.SendRequest(address_, call->method, context_->self.value(), std::move(call->data));
    if (call->stream < 0) {
      closing_ = true;
      Finish(call.get(), FailureOf(*call, "No stream could be opened."));
      continue;
    }
    calls_[call->stream] = call;
    used_ = true;
    last_call_ = context_->clock->Now();
  }
  queue_.clear();
  for (const int32_t stream : abandoned_) {
    session_.Reset(stream, NGHTTP2_CANCEL);
  }
  abandoned_.clear();
}

bool ClientConnection::MayContinue(absl::Time now) {
  const PeerLimits& limits = context_->limits;
  absl::MutexLock lock(&mutex_);
  if (aborted_ || session_.finished()) {
    return false;
  }
  if (session_.received_goaway()) {
    closing_ = true;
  }
  if (calls_.empty() && queue_.empty()) {
    // A new connection waits for the call that it was opened for, which may arrive late.
    const absl::Duration patience =
        used_ ? limits.client_idle_timeout : limits.client_idle_timeout + limits.connect_timeout;
    if (!closing_ && silent_ && !pinged_) {
      pinged_ = true;
      session_.SendPing();
    }
    const bool dead = silent_ && now >= last_received_ + 2 * limits.stall_timeout;
    if (!closing_ && !dead && now < last_call_ + patience) {
      return true;
    }
    closing_ = true;
    if (!goaway_sent_) {
      goaway_sent_ = true;
      session_.SendGoAway();
    }
    return session_.wants_write() && now < last_received_ + limits.stall_timeout;
  }
  if (now >= last_received_ + 2 * limits.stall_timeout) {
    return false;
  }
  // A slow handler is silent as well; the ping tells it from a peer that is gone.
  if (now >= last_received_ + limits.stall_timeout && !pinged_) {
    pinged_ = true;
    session_.SendPing();
  }
  return true;
}

void ClientConnection::OnMessage(int32_t stream, Http2Message message) {
  absl::MutexLock lock(&mutex_);
  const auto it = calls_.find(stream);
  if (it != calls_.end()) {
    Finish(it->second.get(), std::move(message));
  }
}

bool ClientConnection::OnMessageLeaving(int32_t stream) {
  absl::MutexLock lock(&mutex_);
  const auto it = calls_.find(stream);
  if (it == calls_.end() || it->second->abandoned) {
    return false;
  }
  it->second->leaving = true;
  return true;
}

void ClientConnection::OnStreamClosed(int32_t stream, uint32_t error) {
  absl::MutexLock lock(&mutex_);
  const auto it = calls_.find(stream);
  if (it == calls_.end()) {
    return;
  }
  const std::shared_ptr<Call> call = it->second;
  calls_.erase(it);
  if (error == NGHTTP2_REFUSED_STREAM) {
    // After GOAWAY the caller may open a new connection at once.
    closing_ = closing_ || session_.received_goaway();
    Finish(call.get(), Error{ErrorKind::kUnavailable,
                             absl::StrCat("Instance ", address_,
                                          " refused the call without processing it; retry it."),
                             std::nullopt});
    return;
  }
  Finish(call.get(), FailureOf(*call, absl::StrCat("The stream to ", address_,
                                                   " ended without a complete answer.")));
}

void ClientConnection::FinishAll(const std::string& reason) {
  absl::MutexLock lock(&mutex_);
  closing_ = true;
  for (const auto& [stream, call] : calls_) {
    Finish(call.get(), FailureOf(*call, reason));
  }
  for (const std::shared_ptr<Call>& call : queue_) {
    Finish(call.get(), FailureOf(*call, reason));
  }
  calls_.clear();
  queue_.clear();
}

void ClientConnection::Finish(Call* call, Outcome<Http2Message> outcome) {
  if (!call->outcome.has_value()) {
    call->outcome = std::move(outcome);
    call->done.SignalAll();
  }
}

Error ClientConnection::FailureOf(const Call& call, const std::string& reason) const {
  if (call.leaving) {
    return Error{ErrorKind::kOutcomeUnknown,
                 absl::StrCat(reason, " The call may have been processed; check its effect."),
                 std::nullopt};
  }
  return Error{ErrorKind::kUnavailable, absl::StrCat(reason, " The call was not sent; retry it."),
               std::nullopt};
}

}  // namespace pomelotray
