#include "standins/executor_standin.h"

#include <algorithm>
#include <utility>

#include "adapters/wire_json.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

constexpr char kDigestField[] = "digest";
constexpr char kUpstreamKind[] = "upstream";

StandinResponse BadRequest() {
  return Refuse(400, "invalid_argument", "A field is missing or has the wrong type.");
}

}  // namespace

ExecutorStandin::ExecutorStandin(const ExecutorOptions& options, const Clock* clock,
                                 EventLog* events)
    : options_(options), clock_(clock), events_(events), server_(clock, events->clock()) {
  server_.Handle("POST", "/executor/fence", [this](const StandinRequest& r) { return Fence(r); });
  server_.Handle("POST", "/executor/call", [this](const StandinRequest& r) { return Call(r); });
  server_.HandleControl("POST", "/leave", [this](const StandinRequest&) {
    absl::MutexLock lock(&mutex_);
    leaving_ = true;
    events_->Record(EventCode::kWorkerLeaving)
        .Worker(options_.id)
        .With(event_field::kBoot, options_.boot.value())
        .Emit();
    return StandinResponse{};
  });
}

StandinResponse ExecutorStandin::Fence(const StandinRequest& request) {
  const std::optional<Epoch> epoch = wire::ReadEpoch(request.body, "epoch");
  if (!epoch) {
    return BadRequest();
  }
  absl::MutexLock lock(&mutex_);
  if (*epoch < epoch_) {
    return Refuse(412, "fenced", "The executor has seen a higher epoch; give up the shard.");
  }
  epoch_ = *epoch;
  return StandinResponse{
      200, {{"boot", options_.boot.value()}, {"leaving", leaving_}, {"busy_slots", busy_}}};
}

bool ExecutorStandin::AcquireSlot(const Epoch& epoch, StandinResponse* refusal) {
  absl::MutexLock lock(&mutex_);
  if (epoch < epoch_) {
    *refusal = Refuse(412, "fenced", "The executor has seen a higher epoch; give up the shard.");
    return false;
  }
  if (server_.connections() > options_.max_connections) {
    *refusal = Refuse(503, "unavailable", "Too many connections are open; close some.");
    return false;
  }
  if (busy_ >= options_.slots) {
    *refusal = Refuse(429, "overloaded", "All slots are busy; the request did not run.");
    return false;
  }
  epoch_ = epoch;
  ++busy_;
  return true;
}

void ExecutorStandin::ReleaseSlot() {
  absl::MutexLock lock(&mutex_);
  --busy_;
}

bool ExecutorStandin::Serve(const Work& work) {
  clock_->SleepFor(std::min(work.service, work.timeout));
  return work.service <= work.timeout;
}

void ExecutorStandin::Record(EventCode code, const Work& work) {
  events_->Record(code)
      .Request(RequestId(work.request))
      .Attempt(AttemptId(work.attempt))
      .Executor(options_.id)
      .With(event_field::kBoot, options_.boot.value())
      .With(event_field::kKind, kUpstreamKind)
      .With(kDigestField, work.digest)
      .Emit();
}

StandinResponse ExecutorStandin::Call(const StandinRequest& request) {
  const std::optional<std::string> id = wire::ReadString(request.body, "request");
  const std::optional<std::string> attempt = wire::ReadString(request.body, "attempt");
  const std::optional<Epoch> epoch = wire::ReadEpoch(request.body, "epoch");
  const std::optional<std::string> body = wire::ReadBytes(request.body, "body");
  const std::optional<absl::Duration> timeout = wire::ReadMillis(request.body, "timeout_ms");
  if (!id || !attempt || !epoch || !body || !timeout) {
    return BadRequest();
  }
  StandinResponse response;
  if (!AcquireSlot(*epoch, &response)) {
    return response;
  }
  const nlohmann::json content = nlohmann::json::parse(*body, nullptr, /*allow_exceptions=*/false);
  const Work work{*id, *attempt, Sha256Hex(*body),
                  wire::ReadMillis(content, "service_ms").value_or(absl::ZeroDuration()), *timeout};
  Record(EventCode::kRequestSent, work);
  const bool served = Serve(work);
  ReleaseSlot();
  if (!served) {
    return Refuse(504, "deadline_exceeded", "The service time exceeds the timeout.");
  }
  Record(EventCode::kRequestAnswered, work);
  const nlohmann::json answer = {{"request", *id}, {kDigestField, work.digest}};
  response.body = {{"request", request.misdirect ? *id + "-other" : *id},
                   {"attempt", *attempt},
                   {"body", wire::ToBase64(answer.dump())},
                   {"service_ms", wire::ToMillis(work.service)}};
  return response;
}

}  // namespace pomelotray
