#include "cell/prefix_mirror.h"

#include <utility>

namespace pomelotray {
namespace {

// A connection may fall silent without a reset; a watch that is answered this often notices it
// before a configuration is overdue (2.5 s after the store has been back for 3 s).
constexpr absl::Duration kWatchWait = absl::Seconds(2);
// Pause after a failed call, so that an outage does not use up the store's rate.
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);

}  // namespace

PrefixMirror::PrefixMirror(TransactionalStore* store, std::string prefix, const Clock* clock,
                           EventLog* events, Callback callback)
    : store_(store),
      prefix_(std::move(prefix)),
      clock_(clock),
      events_(events),
      callback_(std::move(callback)) {}

PrefixMirror::~PrefixMirror() { Stop(); }

void PrefixMirror::Start(Revision from) {
  next_ = from;
  thread_ = std::thread([this] { Run(); });
}

void PrefixMirror::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PrefixMirror::Run() {
  for (;;) {
    const bool answered = Step();
    absl::MutexLock lock(&mutex_);
    const absl::Time retry = clock_->Now() + kRetryPause;
    while (!stopping_ && !answered && clock_->Now() < retry) {
      clock_->WaitUntil(&changed_, &mutex_, retry);
    }
    if (stopping_) {
      return;
    }
  }
}

bool PrefixMirror::Step() { return next_ == Revision(0) ? ListAll() : WatchOnce(); }

bool PrefixMirror::ListAll() {
  Outcome<StoreListing> listing = Capture([this] { return store_->ListAll(prefix_); });
  NoteAnswer(listing.ok(), listing.ok() ? "" : listing.error().message);
  if (!listing.ok()) {
    return false;
  }
  next_ = listing.value().as_of;
  WatchBatch batch;
  batch.changed = std::move(listing.value().entries);
  batch.next = next_;
  callback_(batch, /*complete=*/true);
  return true;
}

bool PrefixMirror::WatchOnce() {
  Outcome<WatchBatch> batch = Capture([this] { return store_->Watch(prefix_, next_, kWatchWait); });
  if (!batch.ok() && batch.error().kind == ErrorKind::kNotFound) {
    next_ = Revision(0);
    return true;
  }
  NoteAnswer(batch.ok(), batch.ok() ? "" : batch.error().message);
  if (!batch.ok()) {
    return false;
  }
  next_ = batch.value().next;
  if (!batch.value().changed.empty() || !batch.value().deleted.empty()) {
    callback_(batch.value(), /*complete=*/false);
  }
  return true;
}

void PrefixMirror::NoteAnswer(bool answered, const std::string& reason) {
  if (answered == answering_) {
    return;
  }
  answering_ = answered;
  events_->Record(answered ? EventCode::kStoreOutageEnded : EventCode::kStoreOutageBegan)
      .With("prefix", prefix_)
      .With(event_field::kRevision, next_.value())
      .With(event_field::kReason, reason)
      .Emit();
}

}  // namespace pomelotray
