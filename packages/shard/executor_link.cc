#include "shard/executor_link.h"

#include <utility>

namespace pomelotray {
namespace {

constexpr absl::Duration kProbeInterval = absl::Seconds(1);

}  // namespace

ExecutorLink::ExecutorLink(ExecutorId executor, std::string address, ExecutorPort* port,
                           const Clock* clock, ExecutorLinkListener* listener, const Epoch& epoch)
    : executor_(std::move(executor)),
      address_(std::move(address)),
      port_(port),
      clock_(clock),
      listener_(listener),
      epoch_(epoch) {}

ExecutorLink::~ExecutorLink() { Stop(); }

void ExecutorLink::Start() { thread_ = std::thread(&ExecutorLink::Run, this); }

void ExecutorLink::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ExecutorLink::Run() {
  while (true) {
    Probe();
    const absl::Time next = clock_->Now() + kProbeInterval;
    absl::MutexLock lock(&mutex_);
    while (!stopping_ && !clock_->WaitUntil(&changed_, &mutex_, next)) {
    }
    if (stopping_) {
      return;
    }
  }
}

void ExecutorLink::Probe() {
  const Outcome<ExecutorLoad> load = Capture([this] { return port_->Fence(address_, epoch_); });
  if (load.ok()) {
    listener_->OnLoad(executor_, load.value());
    return;
  }
  if (load.error().kind == ErrorKind::kFenced) {
    listener_->OnExecutorFenced();
  }
  listener_->OnExecutorUnreachable(executor_);
}

}  // namespace pomelotray
