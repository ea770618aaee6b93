#include "cell/store/prefix_watcher.h"

#include <utility>

namespace pomelotray {
namespace {

// Delay after a failed call, so that retries during an outage do not exhaust the store's request
// rate.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(200);

}  // namespace

PrefixWatcher::PrefixWatcher(TransactionalStore* store, std::string prefix, const Clock* clock,
                             EventLog* events, Callback callback)
    : store_(store),
      prefix_(std::move(prefix)),
      clock_(clock),
      events_(events),
      callback_(std::move(callback)) {}

PrefixWatcher::~PrefixWatcher() { Stop(); }

void PrefixWatcher::OnAnswer(std::function<void()> answered) { answered_ = std::move(answered); }

void PrefixWatcher::SetWait(absl::Duration wait) {
  absl::MutexLock lock(&mutex_);
  wait_ = wait;
}

void PrefixWatcher::NoteAnswer() const {
  if (answered_ != nullptr) {
    answered_();
  }
}

void PrefixWatcher::Start(Revision from) {
  next_ = from;
  thread_ = std::thread([this] { Run(); });
}

void PrefixWatcher::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PrefixWatcher::Run() {
  for (;;) {
    const bool available = ListOrWatch();
    absl::MutexLock lock(&mutex_);
    const absl::Time retry = clock_->Now() + kRetryDelay;
    while (!stopping_ && !available && clock_->Now() < retry) {
      clock_->WaitUntil(&changed_, &mutex_, retry);
    }
    if (stopping_) {
      return;
    }
  }
}

bool PrefixWatcher::ListOrWatch() { return next_ == Revision(0) ? ListAll() : WatchOnce(); }

bool PrefixWatcher::ListAll() {
  Outcome<StoreListing> listing = Capture([this] { return store_->ListAll(prefix_); });
  RecordAvailability(listing.ok(), listing.ok() ? "" : listing.error().message);
  if (!listing.ok()) {
    return false;
  }
  next_ = listing.value().as_of;
  WatchBatch batch;
  batch.changed = std::move(listing.value().entries);
  batch.next = next_;
  Deliver(batch, /*complete=*/true);
  NoteAnswer();
  return true;
}

bool PrefixWatcher::WatchOnce() {
  absl::Duration wait;
  {
    absl::MutexLock lock(&mutex_);
    wait = wait_;
  }
  Outcome<WatchBatch> batch = Capture([this, wait] { return store_->Watch(prefix_, next_, wait); });
  if (!batch.ok() && batch.error().kind == ErrorKind::kNotFound) {
    next_ = Revision(0);
    return true;
  }
  RecordAvailability(batch.ok(), batch.ok() ? "" : batch.error().message);
  if (!batch.ok()) {
    return false;
  }
  next_ = batch.value().next;
  if (!batch.value().changed.empty() || !batch.value().deleted.empty()) {
    Deliver(batch.value(), /*complete=*/false);
  }
  NoteAnswer();
  return true;
}

void PrefixWatcher::Deliver(const WatchBatch& batch, bool complete) {
  const Outcome<void> delivered = Capture([&]() -> Result<void> {
    callback_(batch, complete);
    return {};
  });
  if (!delivered.ok()) {
    events_->Record(EventCode::kUnreadableEntry)
        .With("key", prefix_)
        .With(event_field::kRevision, batch.next.value())
        .With(event_field::kReason, delivered.error().message)
        .Emit();
  }
}

void PrefixWatcher::RecordAvailability(bool available, const std::string& reason) {
  if (available == store_available_) {
    return;
  }
  store_available_ = available;
  events_->Record(available ? EventCode::kStoreOutageEnded : EventCode::kStoreOutageBegan)
      .With("prefix", prefix_)
      .With(event_field::kRevision, next_.value())
      .With(event_field::kReason, reason)
      .Emit();
}

}  // namespace pomelotray
