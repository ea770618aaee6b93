#include "standins/worker_task.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

// Limits the usage that a payload can request, so that the scaled amounts fit into 64 bits.
constexpr double kMaxUsageFactor = 1000;

template <typename Number>
Number Scale(Number amount, double factor) {
  return Number(std::llround(static_cast<double>(amount.value()) * factor));
}

}  // namespace

WorkerTask::WorkerTask(const TaskStart& start, absl::Time now)
    : start_(start), started_at_(now), lease_until_(now + start.lease) {
  const nlohmann::json payload =
      nlohmann::json::parse(start.payload, nullptr, /*allow_exceptions=*/false);
  const std::optional<absl::Duration> run = wire::ReadMillis(payload, "run_ms");
  if (run.has_value()) {
    run_until_ = now + *run;
  }
  fail_ = wire::ReadBool(payload, "fail").value_or(false);
  planned_result_ = wire::ReadString(payload, "result").value_or("");
  if (payload.is_object() && payload.contains("usage_factor") &&
      payload["usage_factor"].is_number()) {
    usage_factor_ = std::clamp(payload["usage_factor"].get<double>(), 0.0, kMaxUsageFactor);
  }
}

void WorkerTask::Throttle(absl::Time now) {
  if (run_until_ != absl::InfiniteFuture()) {
    run_until_ += run_until_ - now;
  }
  usage_factor_ /= 2;
}

void WorkerTask::FailAt(absl::Time time) {
  run_until_ = time;
  fail_ = true;
}

void WorkerTask::End(AttemptState state, absl::Time now, std::string result) {
  state_ = state;
  ended_at_ = now;
  result_ = std::move(result);
}

AttemptState WorkerTask::StateWhenDue() const {
  if (run_until_ > lease_until_) {
    return AttemptState::kLapsed;
  }
  return fail_ ? AttemptState::kFailed : AttemptState::kSucceeded;
}

AttemptReport WorkerTask::Report(absl::Time now, absl::Duration usage_lag) const {
  AttemptReport report;
  report.attempt = start_.attempt;
  report.task = start_.task;
  report.job = start_.job;
  report.state = state_;
  report.reserved = start_.demand;
  report.run_time = std::min(now, ended_at_) - started_at_;
  if (report.run_time >= usage_lag) {
    report.used = Resources{Scale(start_.demand.cpu, usage_factor_),
                            Scale(start_.demand.memory, usage_factor_), start_.demand.accelerators,
                            start_.demand.slots};
  }
  report.result = result_;
  return report;
}

}  // namespace pomelotray
