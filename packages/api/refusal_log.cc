#include "api/refusal_log.h"

namespace pomelotray {
namespace {

// Longer error messages are truncated in the event.
constexpr size_t kMaxReasonBytes = 200;

}  // namespace

RefusalLog::RefusalLog(EventLog* events, const Clock* clock) : events_(events), clock_(clock) {}

void RefusalLog::Record(const Error& error, const std::string& remote_ip) {
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_->Now();
    if (now >= window_end_) {
      window_end_ = now + absl::Seconds(1);
      recorded_ = 0;
    }
    if (++recorded_ > kMaxPerSecond) {
      return;
    }
  }
  events_->Record(EventCode::kInvalidInputRefused)
      .With(event_field::kKind, ErrorKindName(error.kind))
      .With(event_field::kPeer, remote_ip)
      .With(event_field::kReason, error.message.substr(0, kMaxReasonBytes))
      .Emit();
}

}  // namespace pomelotray
