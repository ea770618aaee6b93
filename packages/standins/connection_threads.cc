#include "standins/connection_threads.h"

#include <utility>

namespace pomelotray {

void ConnectionThreads::Run(std::function<void()> connection) {
  absl::MutexLock lock(&mutex_);
  Reap();
  ++active_;
  Slot* const slot = &slots_.emplace_back();
  slot->thread = std::thread([this, slot, connection = std::move(connection)] {
    connection();
    absl::MutexLock done_lock(&mutex_);
    slot->done = true;
    --active_;
  });
}

void ConnectionThreads::Join() {
  std::list<Slot> slots;
  {
    absl::MutexLock lock(&mutex_);
    // splice() keeps the slots at their addresses, to which the running threads hold pointers.
    slots.splice(slots.end(), slots_);
  }
  for (Slot& slot : slots) {
    slot.thread.join();
  }
}

int ConnectionThreads::active() const {
  absl::MutexLock lock(&mutex_);
  return active_;
}

void ConnectionThreads::Reap() {
  for (auto it = slots_.begin(); it != slots_.end();) {
    if (it->done) {
      it->thread.join();
      it = slots_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pomelotray
