// The part of PoolSimulation that stands in for the adviser.

#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/cell/pool_simulation.h"

namespace pomelotray {
namespace {

// The adviser allows each step on between 30% and 50% of the workers.
constexpr uint64_t kMinAllowedPercent = 30;
constexpr uint64_t kAllowedPercentRange = 21;

// Returns the name of the step that the task with this name belongs to.
std::string StepOfTask(const std::string& task) { return task.substr(0, task.rfind('.')); }

}  // namespace

bool PoolSimulation::Allows(const std::string& step, const std::string& worker) const {
  const uint64_t share = kMinAllowedPercent + StableHash(step) % kAllowedPercentRange;
  return !load_.adviser || StableHash(absl::StrCat(step, "/", worker)) % 100 < share;
}

void PoolSimulation::SendQuestion(const AdviceRequest& request) {
  const absl::Duration time =
      load_.slow_adviser ? Millis(300, 1500) : request.cost + Millis(5, 100);
  After(time, [this, request, owner = owner_] {
    const Advice advice = Answer(request.question);
    NoteAnswer(request.question, advice);
    After(Millis(1, 15), [this, request, advice, owner] {
      if (owner == owner_) {
        scheduler_->AdviceFinished(request, advice, Now());
      }
    });
  });
}

void PoolSimulation::NoteAnswer(const AdviceQuestion& question, const Advice& advice) const {
  if (trace_ == nullptr) {
    return;
  }
  std::string text = absl::StrCat("advice about ", question.step, ":");
  for (const WorkerId& worker : question.workers) {
    const bool allowed = advice.tickets.count(worker) > 0;
    absl::StrAppend(&text, " ", worker.value(), allowed ? "" : " (refused)");
  }
  Note(text);
}

Advice PoolSimulation::Answer(const AdviceQuestion& question) const {
  Advice advice;
  advice.validity = kTicketValidity;
  const absl::Time expires = Now() + kTicketValidity;
  for (const WorkerId& worker : question.workers) {
    if (Allows(question.step, worker.value())) {
      advice.tickets[worker] = absl::StrCat(question.step, " ", worker.value(), " ",
                                            absl::ToInt64Milliseconds(expires - begin_));
    }
  }
  return advice;
}

bool PoolSimulation::AcceptsTicket(const Worker& worker, const WorkerOrder& order) const {
  const std::vector<std::string> fields = absl::StrSplit(order.ticket, ' ');
  int64_t expires = 0;
  return fields.size() == 3 && fields[0] == StepOfTask(order.key.task) &&
         fields[1] == worker.description.id.value() && absl::SimpleAtoi(fields[2], &expires) &&
         Now() < begin_ + absl::Milliseconds(expires);
}

}  // namespace pomelotray
