#include "cell/ownership/owner_disposal.h"

#include <utility>

namespace pomelotray {

OwnerDisposal::OwnerDisposal() : thread_([this] { Run(); }) {}

OwnerDisposal::~OwnerDisposal() { Stop(); }

void OwnerDisposal::Add(std::shared_ptr<PoolOwner> owner) {
  absl::MutexLock lock(&mutex_);
  owners_.push_back(std::move(owner));
  changed_.SignalAll();
}

void OwnerDisposal::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void OwnerDisposal::Run() {
  for (;;) {
    std::vector<std::shared_ptr<PoolOwner>> owners;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && owners_.empty()) {
        changed_.Wait(&mutex_);
      }
      if (owners_.empty()) {
        return;
      }
      owners.swap(owners_);
    }
  }
}

}  // namespace pomelotray
