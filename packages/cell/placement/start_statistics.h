#ifndef POMELOTRAY_CELL_PLACEMENT_START_STATISTICS_H_
#define POMELOTRAY_CELL_PLACEMENT_START_STATISTICS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "base/event_log.h"

namespace pomelotray {

// Sums up how long starts take from the scheduling decision to the worker's answer, and what is
// asked of the adviser, since the summary that was logged last. The log lines of single starts
// cannot show this when it matters, since most of them are dropped under load. Not thread-safe.
class StartStatistics {
 public:
  // A start was decided. `late`: its job can hardly meet its objective any more.
  void AddOrdered(bool late);
  // A start was sent `queued` after the decision.
  void AddSent(absl::Duration queued);
  // The ticket of a start was received `age` before the start was sent.
  void AddTicketAge(absl::Duration age);
  // A start was not sent since its ticket had run out.
  void AddTicketRanOut() { ++tickets_ran_out_; }
  // A worker answered a start `after` it was sent. `ticket_refused`: it refused the ticket.
  void AddAnswered(absl::Duration after, bool ticket_refused);
  // The adviser answered a question `after` the scheduling decision; the call alone should take
  // `cost`.
  void AddAdvice(absl::Duration after, absl::Duration cost);

  // Whether the next summary is due.
  bool IsDue(absl::Time now) const;
  // Adds the sums to `summary` and logs it, unless there is nothing to report. Begins the next
  // interval.
  void Log(EventBuilder summary, absl::Time now);

 private:
  bool IsEmpty() const;

  // Number, sum and maximum of some durations.
  struct Durations {
    int64_t count = 0;
    absl::Duration sum;
    absl::Duration max;

    void Add(absl::Duration duration);
    int64_t MeanMillis() const;
    int64_t MaxMillis() const { return absl::ToInt64Milliseconds(max); }
  };

  absl::Time logged_at_ = absl::InfinitePast();
  int64_t ordered_ = 0;
  int64_t ordered_late_ = 0;
  int64_t tickets_refused_ = 0;
  int64_t tickets_ran_out_ = 0;
  Durations queued_;
  Durations ticket_age_;
  Durations answered_;
  Durations advice_;
  Durations advice_cost_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_START_STATISTICS_H_
