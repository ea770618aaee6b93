#include "load/request_load.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace pomelotray {

void RequestLoadResult::Merge(const RequestLoadResult& other) {
  latency_ms.Merge(other.latency_ms);
  sent += other.sent;
  failed += other.failed;
  wrong_answers += other.wrong_answers;
}

struct RequestLoad::Shared {
  absl::Time start;
  std::atomic<int64_t> next{0};
  absl::Mutex mutex;
  RequestLoadResult result ABSL_GUARDED_BY(mutex);
};

RequestLoad::RequestLoad(RequestLoadPlan plan, TargetFactory factory)
    : plan_(std::move(plan)), factory_(std::move(factory)) {}

RequestLoadResult RequestLoad::Run(const std::string& id_prefix) {
  Shared shared;
  shared.start = absl::Now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(plan_.clients));
  for (int client = 0; client < plan_.clients; ++client) {
    threads.emplace_back(
        [this, client, &id_prefix, &shared] { RunClient(client, id_prefix, &shared); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  absl::MutexLock lock(&shared.mutex);
  return shared.result;
}

void RequestLoad::RunClient(int client, const std::string& id_prefix, Shared* shared) {
  const std::unique_ptr<RequestTarget> target = factory_(client);
  const absl::Time end = shared->start + plan_.duration;
  RequestLoadResult result;
  while (true) {
    const int64_t number = shared->next++;
    absl::Time due = absl::Now();
    if (plan_.rate > 0) {
      due = shared->start + absl::Seconds(static_cast<double>(number) / plan_.rate);
      absl::SleepFor(std::min(due, end) - absl::Now());
    }
    if (due >= end) {
      break;
    }
    const std::string id = absl::StrCat(id_prefix, "-", number);
    const std::string body =
        nlohmann::json{{"service_ms", plan_.service_ms}, {"number", id}}.dump();
    const RequestOutcome outcome = target->Call(id, body);
    ++result.sent;
    if (outcome == RequestOutcome::kAnswered) {
      result.latency_ms.Add(absl::ToDoubleMilliseconds(absl::Now() - due));
    } else if (outcome == RequestOutcome::kWrongAnswer) {
      ++result.wrong_answers;
    } else {
      ++result.failed;
    }
  }
  absl::MutexLock lock(&shared->mutex);
  shared->result.Merge(result);
}

}  // namespace pomelotray
