#include "shard/intent_sender.h"

#include <utility>

namespace pomelotray {
namespace {

// Longest wait for the journal before the thread checks again whether to stop. It bounds the time
// that Stop() blocks.
constexpr absl::Duration kDurableWait = absl::Milliseconds(200);

}  // namespace

IntentSender::IntentSender(Journal* journal, const Clock* clock, Send send)
    : journal_(journal), clock_(clock), send_(std::move(send)) {}

IntentSender::~IntentSender() { Stop(); }

void IntentSender::Start() { thread_ = std::thread(&IntentSender::Run, this); }

void IntentSender::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void IntentSender::Queue(const WorkerId& worker, const TaskStart& start, uint64_t sequence) {
  absl::MutexLock lock(&mutex_);
  intents_.push_back({worker, start, sequence});
  changed_.SignalAll();
}

void IntentSender::Run() {
  while (true) {
    Intent intent;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && intents_.empty()) {
        changed_.Wait(&mutex_);
      }
      if (stopping_) {
        return;
      }
      intent = intents_.front();
    }
    const Outcome<void> durable =
        journal_->AwaitDurable(intent.sequence, clock_->Now() + kDurableWait);
    if (!durable.ok()) {
      if (durable.error().kind == ErrorKind::kFenced) {
        return;
      }
      continue;
    }
    {
      absl::MutexLock lock(&mutex_);
      intents_.pop_front();
    }
    send_(intent.worker, intent.start);
  }
}

}  // namespace pomelotray
