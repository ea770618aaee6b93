#include "shard/request_runner.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/system_clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/shard/fault_run.h"

namespace pomelotray {
namespace {

constexpr int64_t kSlots = 2;

// Simulated executors that randomly reject requests, lose answers and return answers to other
// requests. They count how often each request ran.
class FaultyExecutors : public ExecutorPort {
 public:
  FaultyExecutors(uint64_t seed, int fault_percent)
      : random_(seed), fault_percent_(fault_percent) {}

  Result<ExecutorLoad> Fence(const std::string& /*address*/, const Epoch& /*epoch*/) override {
    return ExecutorLoad{BootId("boot"), false, 0};
  }

  Result<ExecutorAnswer> Call(const std::string& address, const ExecutorCall& call) override {
    const int fault = PickFault();
    if (fault == 1) {
      return Fail(ErrorKind::kOverloaded, "All slots are busy.");
    }
    Begin(address, call.request);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    End(address);
    if (fault == 2) {
      return Fail(ErrorKind::kOutcomeUnknown, "The answer was lost.");
    }
    const RequestId answered = fault == 3 ? RequestId("another") : call.request;
    return ExecutorAnswer{answered, call.attempt, "answer to " + call.body, absl::Milliseconds(2)};
  }

  // Sets the faults of the next calls, one per call; PickFault() lists the values.
  void SetScriptedFaults(std::vector<int> faults) {
    absl::MutexLock lock(&mutex_);
    scripted_faults_ = std::move(faults);
  }
  int64_t Runs(const RequestId& request) {
    absl::MutexLock lock(&mutex_);
    return runs_[request];
  }
  int64_t max_concurrent_runs() {
    absl::MutexLock lock(&mutex_);
    return max_concurrent_runs_;
  }

 private:
  // Returns 0 for no fault, 1 for a rejected request, 2 for a lost answer and 3 for an answer to
  // another request.
  int PickFault() {
    absl::MutexLock lock(&mutex_);
    if (!scripted_faults_.empty()) {
      const int fault = scripted_faults_.front();
      scripted_faults_.erase(scripted_faults_.begin());
      return fault;
    }
    return static_cast<int>(random_() % 100) < fault_percent_ ? 1 + static_cast<int>(random_() % 3)
                                                              : 0;
  }
  void Begin(const std::string& address, const RequestId& request) {
    absl::MutexLock lock(&mutex_);
    ++runs_[request];
    max_concurrent_runs_ = std::max(max_concurrent_runs_, ++running_[address]);
  }
  void End(const std::string& address) {
    absl::MutexLock lock(&mutex_);
    --running_[address];
  }

  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  const int fault_percent_;
  std::vector<int> scripted_faults_ ABSL_GUARDED_BY(mutex_);
  std::map<RequestId, int64_t> runs_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int64_t> running_ ABSL_GUARDED_BY(mutex_);
  int64_t max_concurrent_runs_ ABSL_GUARDED_BY(mutex_) = 0;
};

struct RunnerFixture {
  explicit RunnerFixture(uint64_t seed, int fault_percent)
      : hybrid_clock(&clock),
        events("owner", &hybrid_clock),
        executors(seed, fault_percent),
        runner(RequestRunnerContext{&clock, &events, &executors, &limits},
               ShardId{FailureDomainId("cuenca"), PoolName("quoting")}, Epoch{1, 0}) {
    std::vector<VmEntry> vms;
    for (int i = 0; i < 2; ++i) {
      VmEntry vm;
      vm.id = VmId(absl::StrCat("executor-", i));
      vm.role = VmRole::kExecutor;
      vm.address = vm.id.value();
      vm.capacity.slots = SlotCount(kSlots);
      vm.max_connections = 64;
      vms.push_back(vm);
    }
    runner.UpdateExecutors(vms);
    while (!AllUsable()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  bool AllUsable() {
    const std::vector<WorkerStatus> statuses = runner.ListExecutors();
    return std::all_of(statuses.begin(), statuses.end(),
                       [](const WorkerStatus& status) { return status.state == "usable"; });
  }

  SystemClock clock;
  HybridClock hybrid_clock;
  EventLog events;
  UnlimitedShardLimits limits;
  FaultyExecutors executors;
  RequestRunner runner;
};

InteractiveRequest MakeRequest(int index, absl::Duration timeout) {
  InteractiveRequest request;
  request.id = RequestId(absl::StrCat("request-", index));
  request.customer = CustomerId("andrade");
  request.pool = PoolName("quoting");
  request.body = absl::StrCat("body ", index);
  request.timeout = timeout;
  request.repeatable = index % 3 != 0;
  return request;
}

// Sends `count` requests from 16 threads and checks each answer and error against the runs that the
// executors counted.
void CheckRequests(RunnerFixture* fixture, int count, absl::Duration timeout) {
  std::atomic<int> next{0};
  std::atomic<int> answered{0};
  std::vector<std::string> faults;
  absl::Mutex faults_mutex;
  std::vector<std::thread> callers;
  callers.reserve(16);
  for (int caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&] {
      for (int index = next++; index < count; index = next++) {
        const InteractiveRequest request = MakeRequest(index, timeout);
        const Outcome<InteractiveAnswer> answer =
            Capture([&] { return fixture->runner.Serve(request); });
        answered += answer.ok() ? 1 : 0;
        const int64_t runs = fixture->executors.Runs(request.id);
        absl::MutexLock lock(&faults_mutex);
        if (answer.ok() && (answer.value().request != request.id ||
                            answer.value().body != "answer to " + request.body)) {
          faults.push_back(
              absl::StrCat("Request ", index, " received the answer to another request."));
        }
        if (!request.repeatable && runs > 1) {
          faults.push_back(absl::StrCat("Request ", index, " ran ", runs, " times."));
        }
        const bool reported_not_run = !answer.ok() &&
                                      answer.error().kind != ErrorKind::kOutcomeUnknown &&
                                      answer.error().kind != ErrorKind::kDeadlineExceeded;
        if (reported_not_run && runs > 0) {
          faults.push_back(absl::StrCat(
              "Request ", index,
              " ran, although the caller received the error: ", answer.error().message));
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::string& fault : faults) {
    BOOST_ERROR(fault);
  }
  BOOST_TEST(answered > 0);
  BOOST_TEST(fixture->executors.max_concurrent_runs() <= kSlots);
}

BOOST_AUTO_TEST_SUITE(RequestRunnerTest)

// Guards against answers to the wrong caller, repeated runs of requests that may not be repeated,
// and errors that wrongly say that a request did not run, when executors reject requests, lose
// answers or return answers to other requests.
BOOST_AUTO_TEST_CASE(FaultyExecutorsNeverCauseFalseAnswers) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    RunnerFixture fixture(seed, 60);
    CheckRequests(&fixture, 200, absl::Seconds(5));
  }
}

// Guards against sending an executor more requests than it has slots, and against reporting that a
// request did not run although it ran, under overload.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedBeforeItRuns) {
  RunnerFixture fixture(7, 20);
  CheckRequests(&fixture, 400, absl::Milliseconds(8));
}

// Guards against reporting that a request did not run when the answer to its first attempt was lost
// and the retries were rejected.
BOOST_AUTO_TEST_CASE(RefusedRetryAfterLostAnswerIsOutcomeUnknown) {
  RunnerFixture fixture(1, 0);
  CheckRequests(&fixture, 60, absl::Seconds(5));
  fixture.executors.SetScriptedFaults({2, 1, 1, 1});
  const InteractiveRequest request = MakeRequest(1000, absl::Seconds(1));
  const Outcome<InteractiveAnswer> answer = Capture([&] { return fixture.runner.Serve(request); });
  BOOST_REQUIRE(!answer.ok());
  BOOST_TEST(fixture.executors.Runs(request.id) == 1);
  BOOST_TEST(ErrorKindName(answer.error().kind) == "outcome_unknown");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
