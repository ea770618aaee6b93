#include "cell/placement/start_statistics.h"

#include <algorithm>

namespace pomelotray {
namespace {

constexpr absl::Duration kSummaryInterval = absl::Seconds(1);

}  // namespace

void StartStatistics::Durations::Add(absl::Duration duration) {
  ++count;
  sum += duration;
  max = std::max(max, duration);
}

int64_t StartStatistics::Durations::MeanMillis() const {
  return count > 0 ? absl::ToInt64Milliseconds(sum / count) : 0;
}

void StartStatistics::AddOrdered(bool late) {
  ++ordered_;
  ordered_late_ += late ? 1 : 0;
}

void StartStatistics::AddSent(absl::Duration queued) { queued_.Add(queued); }

void StartStatistics::AddTicketAge(absl::Duration age) { ticket_age_.Add(age); }

void StartStatistics::AddAnswered(absl::Duration after, bool ticket_refused) {
  answered_.Add(after);
  tickets_refused_ += ticket_refused ? 1 : 0;
}

void StartStatistics::AddAdvice(absl::Duration after, absl::Duration cost) {
  advice_.Add(after);
  advice_cost_.Add(cost);
}

bool StartStatistics::IsDue(absl::Time now) const { return now - logged_at_ >= kSummaryInterval; }

bool StartStatistics::IsEmpty() const {
  return ordered_ == 0 && queued_.count == 0 && answered_.count == 0 && tickets_ran_out_ == 0 &&
         advice_.count == 0;
}

void StartStatistics::Log(EventBuilder summary, absl::Time now) {
  if (IsEmpty()) {
    logged_at_ = now;
    return;
  }
  summary.With("ordered", ordered_)
      .With("ordered_late", ordered_late_)
      .With("sent", queued_.count)
      .With("queued_ms", queued_.MeanMillis())
      .With("max_queued_ms", queued_.MaxMillis())
      .With("ticket_age_ms", ticket_age_.MeanMillis())
      .With("max_ticket_age_ms", ticket_age_.MaxMillis())
      .With("answered", answered_.count)
      .With("answer_ms", answered_.MeanMillis())
      .With("tickets_refused", tickets_refused_)
      .With("tickets_ran_out", tickets_ran_out_)
      .With("questions", advice_.count)
      .With("question_ms", advice_.MeanMillis())
      .With("question_cost_ms", advice_cost_.MeanMillis())
      .Emit();
  *this = StartStatistics();
  logged_at_ = now;
}

}  // namespace pomelotray
