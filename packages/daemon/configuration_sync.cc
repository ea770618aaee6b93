#include "daemon/configuration_sync.h"

#include <optional>

namespace pomelotray {
namespace {

constexpr absl::Duration kPullTimeout = absl::Seconds(2);
// The revisions of the peers are checked at least this often, because a pull after a call of Wake()
// fails if the peer is unreachable at that time.
constexpr absl::Duration kCheckInterval = absl::Seconds(1);

}  // namespace

ConfigurationSync::ConfigurationSync(PeerPort* peers, Membership* membership,
                                     ConfigurationCache* cache, const Clock* clock)
    : peers_(peers), membership_(membership), cache_(cache), clock_(clock) {}

ConfigurationSync::~ConfigurationSync() { Stop(); }

void ConfigurationSync::Start() { thread_ = std::thread(&ConfigurationSync::Run, this); }

void ConfigurationSync::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ConfigurationSync::Wake() {
  absl::MutexLock lock(&mutex_);
  wake_requested_ = true;
  changed_.SignalAll();
}

void ConfigurationSync::Run() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      const absl::Time deadline = clock_->Now() + kCheckInterval;
      while (!stopping_ && !wake_requested_ && !clock_->WaitUntil(&changed_, &mutex_, deadline)) {
      }
      if (stopping_) {
        return;
      }
      wake_requested_ = false;
    }
    PullOnce();
  }
}

void ConfigurationSync::PullOnce() {
  std::optional<Member> best;
  for (const Member& member : membership_->Members()) {
    const bool newer = member.configuration_revision > cache_->revision() || !cache_->Ready();
    if (member.state == MemberState::kLive && newer &&
        (!best.has_value() || member.configuration_revision > best->configuration_revision)) {
      best = member;
    }
  }
  if (!best.has_value()) {
    return;
  }
  const Revision after = cache_->Ready() ? cache_->revision() : Revision(0);
  (void)Capture([&]() -> Result<void> {
    BOOST_LEAF_AUTO(entries, peers_->Call(best->peer_address, "config.pull",
                                          {{"after", after.value()}}, kPullTimeout));
    return cache_->MergeEntries(entries);
  });
}

}  // namespace pomelotray
