#include "cell/intake/write_relay.h"

#include <algorithm>
#include <utility>

#include "cell/store/store_failure.h"

namespace pomelotray {
namespace {

// Longest wait for one relay. The store client of the relay gives up after 0.8 s.
constexpr absl::Duration kRelayTimeout = absl::Seconds(1);
// A relay is not called with less time left than this, which covers a round trip between regions
// and a write. It could not answer in time, so that the outcome would be unknown.
constexpr absl::Duration kMinRelayTime = absl::Milliseconds(100);
// With one relay partitioned from the store and two still starting, one more remains to try.
constexpr size_t kMaxRelays = 4;
// How long a refusal by all relays also applies to other writes. An outage of the store for all
// instances lasts for seconds, and without the cache each refused caller would cost four more
// calls.
constexpr absl::Duration kRefusalCacheDuration = absl::Milliseconds(250);

// Returns whether a relay that failed with this error may have written anything. A relay that
// refused the call, or that the call did not reach, has written nothing.
bool MayHaveWritten(ErrorKind kind) {
  return kind == ErrorKind::kOutcomeUnknown || kind == ErrorKind::kInternal;
}

// Returns up to kMaxRelays members other than this instance, in an order that depends on the job.
// With one order for all jobs, the first member would receive the writes of every instance to which
// the store is unavailable.
std::vector<CellMember> RelaysFor(const JobId& job, const InstanceId& self,
                                  const std::vector<CellMember>& members) {
  std::vector<std::pair<uint64_t, CellMember>> ranked;
  for (const CellMember& member : members) {
    if (member.id != self) {
      ranked.emplace_back(StableHash(job.value() + "/" + member.id.value()), member);
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<CellMember> relays;
  for (size_t i = 0; i < std::min(ranked.size(), kMaxRelays); ++i) {
    relays.push_back(std::move(ranked[i].second));
  }
  return relays;
}

}  // namespace

WriteRelay::WriteRelay(InstanceId self, PeerPort* peers, const Clock* clock, EventLog* events)
    : self_(std::move(self)), peers_(peers), clock_(clock), events_(events) {}

Result<nlohmann::json> WriteRelay::Send(const RelayedWrite& write,
                                        const std::vector<CellMember>& members,
                                        absl::Time deadline) {
  if (IsRefusalCached()) {
    return StoreUnavailable(
        "The store was unavailable to four other instances a moment ago; send the request again "
        "later.");
  }
  bool maybe_written = false;
  size_t refusals = 0;
  for (const CellMember& relay : RelaysFor(write.job, self_, members)) {
    if (deadline - clock_->Now() < kMinRelayTime) {
      break;
    }
    Outcome<nlohmann::json> answer = SendTo(relay, write, deadline);
    if (answer.ok()) {
      return std::move(answer.value());
    }
    LogFailure(relay, write, answer.error());
    maybe_written = maybe_written || MayHaveWritten(answer.error().kind);
    refusals += answer.error().kind == ErrorKind::kStoreUnavailable ? 1 : 0;
  }
  if (refusals == kMaxRelays) {
    absl::MutexLock lock(&mutex_);
    refusal_cached_until_ = clock_->Now() + kRefusalCacheDuration;
  }
  if (maybe_written) {
    return Fail(ErrorKind::kOutcomeUnknown,
                "No instance confirmed the write in time; send the same request again.");
  }
  return StoreUnavailable("The store accepts no writes at present; send the request again later.");
}

bool WriteRelay::IsRefusalCached() const {
  absl::MutexLock lock(&mutex_);
  return clock_->Now() < refusal_cached_until_;
}

boost::leaf::error_id WriteRelay::StoreUnavailable(const char* reason) {
  return Fail(ErrorKind::kStoreUnavailable, reason, kStoreRetryAfter);
}

Outcome<nlohmann::json> WriteRelay::SendTo(const CellMember& member, const RelayedWrite& write,
                                           absl::Time deadline) const {
  const absl::Duration timeout = std::min(kRelayTimeout, deadline - clock_->Now());
  return Capture(
      [&] { return peers_->Call(member.peer_address, write.method, write.body, timeout); });
}

void WriteRelay::LogFailure(const CellMember& member, const RelayedWrite& write,
                            const Error& error) const {
  events_->Record(EventCode::kWriteRelayFailed)
      .Job(write.job)
      .With("method", write.method)
      .With(event_field::kPeer, member.id.value())
      .With("error", ErrorKindName(error.kind))
      .With(event_field::kReason, error.message)
      .Emit();
}

}  // namespace pomelotray
