#include "load/job_load.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "adapters/wire_json.h"
#include "base/event.h"
#include "base/hybrid_clock.h"
#include "load/load_client.h"
#include "load/request_target.h"

namespace pomelotray {
namespace {

constexpr int kStatusOk = 200;
constexpr absl::Duration kPollInterval = absl::Milliseconds(500);

std::string JobBody(const JobLoadPlan& plan, int number) {
  const nlohmann::json payload =
      plan.run_ms > 0 ? nlohmann::json{{"run_ms", plan.run_ms}} : nlohmann::json::object();
  return nlohmann::json{
      {"customer", kLoadCustomer},
      {"key", absl::StrCat(plan.key_prefix, "-", number)},
      {"kind", "batch"},
      {"pool", kJobPool},
      {"demand", {{"cpu_millicores", plan.cpu_millicores}, {"memory_mib", plan.memory_mib}}},
      {"repeatable", plan.repeatable},
      {"payload", payload.dump()}}
      .dump();
}

// Returns the field error.kind of an error response, or "none" if there is none.
std::string ErrorKindOf(const LoadAnswer& answer) {
  const nlohmann::json json = answer.Json();
  const auto error = json.find("error");
  if (!json.is_object() || error == json.end()) {
    return "none";
  }
  return wire::ReadString(*error, "kind").value_or("none");
}

}  // namespace

int JobLoadResult::Refused() const {
  int refused = 0;
  for (const auto& [kind, count] : refused_by_kind) {
    refused += count;
  }
  return refused;
}

std::string JobLoadResult::RefusedText() const {
  if (refused_by_kind.empty()) {
    return "0";
  }
  return absl::StrJoin(refused_by_kind, ", ",
                       [](std::string* out, const std::pair<const std::string, int>& entry) {
                         absl::StrAppend(out, entry.second, " ", entry.first);
                       });
}

struct JobLoad::Shared {
  std::atomic<int> next{0};
  absl::Mutex mutex;
  JobLoadResult result ABSL_GUARDED_BY(mutex);
};

JobLoadResult JobLoad::Submit(const JobLoadPlan& plan) const {
  Shared shared;
  const absl::Time begin = absl::Now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(plan.clients));
  for (int client = 0; client < plan.clients; ++client) {
    threads.emplace_back([this, &plan, client, &shared] { RunClient(plan, client, &shared); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  absl::MutexLock lock(&shared.mutex);
  shared.result.begin = begin;
  return shared.result;
}

void JobLoad::RunClient(const JobLoadPlan& plan, int client, Shared* shared) const {
  const size_t instance = static_cast<size_t>(client) % deployment_->instances.size();
  LoadClient http(deployment_->instances[instance].address, deployment_->operator_token);
  for (int number = shared->next++; number < plan.jobs; number = shared->next++) {
    const absl::Time sent = absl::Now();
    const LoadAnswer answer = http.Post("/v1/jobs", JobBody(plan, number));
    const absl::Time now = absl::Now();
    absl::MutexLock lock(&shared->mutex);
    JobLoadResult& result = shared->result;
    const std::optional<std::string> id = wire::ReadString(answer.Json(), "id");
    if (answer.status != kStatusOk || !id) {
      ++result.refused_by_kind[ErrorKindOf(answer)];
      if (result.first_refusal.empty()) {
        result.first_refusal = answer.body;
      }
      continue;
    }
    result.submitted[*id] = sent;
    result.accept_ms.Add(absl::ToDoubleMilliseconds(now - sent));
    result.last_accepted = now;
  }
}

JobStarts JobLoad::WaitForStarts(const JobLoadResult& submitted, absl::Duration timeout) const {
  const absl::Time end = absl::Now() + timeout;
  JobStarts starts = ReadStarts(submitted);
  while (starts.first.size() < submitted.submitted.size() && absl::Now() < end) {
    absl::SleepFor(kPollInterval);
    starts = ReadStarts(submitted);
  }
  return starts;
}

JobStarts JobLoad::ReadStarts(const JobLoadResult& submitted) const {
  JobStarts starts;
  for (const WorkerProcess& process : deployment_->workers) {
    std::ifstream file(process.events);
    for (std::string line; std::getline(file, line);) {
      const nlohmann::json json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
      Event event;
      if (!ParseEvent(json, &event) || event.code != EventCode::kTaskStarted) {
        continue;
      }
      const std::string job = wire::ReadString(json, "job").value_or("");
      if (submitted.submitted.count(job) == 0) {
        continue;
      }
      const absl::Time time = WallTime(event.time);
      const auto [it, added] = starts.first.try_emplace(job, time);
      if (!added) {
        ++starts.repeated;
        it->second = std::min(it->second, time);
      }
    }
  }
  return starts;
}

}  // namespace pomelotray
