#include "bench/request_simulation.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "bench/bench_limits.h"
#include "scheduler/request_dispatcher.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kDropInterval = absl::Milliseconds(10);

// Base class of the simulated variants: generates arrivals, models the service times of the
// executors and counts the outcomes.
class RequestSimulation {
 public:
  RequestSimulation(double load, uint64_t seed) : source_(load, seed) {
    start_ = loop_.Now() + kRequestWarmUp;
  }
  virtual ~RequestSimulation() = default;

  RequestOutcome Run() {
    ScheduleArrival();
    loop_.RunUntil(start_ + kRequestRunTime);
    return std::move(outcome_);
  }

 protected:
  struct Pending {
    RequestArrival arrival;
    absl::Time at;
  };

  virtual void Arrive(const Pending& pending) = 0;
  virtual void Finished(const Pending& pending, int executor, absl::Duration service) = 0;

  bool IsMeasured(const Pending& pending) const { return pending.at >= start_; }

  void StartOn(const Pending& pending, int executor) {
    const absl::Duration service =
        pending.arrival.service * RequestSource::ServiceTimeFactor(executor);
    loop_.After(service, [this, pending, executor, service] {
      if (IsMeasured(pending)) {
        CountAnswer(pending);
      }
      Finished(pending, executor, service);
    });
  }

  void CountRefusal(const Pending& pending, bool dropped) {
    if (!IsMeasured(pending)) {
      return;
    }
    ++(dropped ? outcome_.dropped : outcome_.refused);
    outcome_.time_to_refusal.Add(absl::ToDoubleMilliseconds(loop_.Now() - pending.at));
  }

  EventLoop loop_;

 private:
  void ScheduleArrival() {
    loop_.After(source_.NextInterarrivalTime(), [this] {
      const Pending pending{source_.Next(), loop_.Now()};
      if (IsMeasured(pending)) {
        ++outcome_.arrived;
      }
      ScheduleArrival();
      Arrive(pending);
    });
  }

  void CountAnswer(const Pending& pending) {
    const absl::Duration latency = loop_.Now() - pending.at;
    if (latency > kRequestDeadline) {
      ++outcome_.late;
      return;
    }
    ++outcome_.in_time;
    ++outcome_.in_time_by_customer[static_cast<size_t>(pending.arrival.customer)];
    outcome_.latency.Add(absl::ToDoubleMilliseconds(latency));
  }

  RequestSource source_;
  absl::Time start_;
  RequestOutcome outcome_;
};

class DispatcherSimulation : public RequestSimulation {
 public:
  // `instances` must divide the number of slots per executor.
  DispatcherSimulation(int instances, double load, uint64_t seed) : RequestSimulation(load, seed) {
    Resources capacity;
    capacity.slots = SlotCount(kBenchSlots / instances);
    for (int instance = 0; instance < instances; ++instance) {
      dispatchers_.push_back(std::make_unique<RequestDispatcher>(
          loop_.clock(), &limits_, seed + static_cast<uint64_t>(instance)));
      for (int i = 0; i < kBenchExecutors; ++i) {
        dispatchers_.back()->UpsertExecutor(ExecutorId(absl::StrCat(i)), capacity,
                                            kBenchConnections / instances);
      }
    }
    ScheduleDropCheck();
  }

 private:
  static constexpr int kBenchConnections = 64;

  RequestDispatcher* DispatcherFor(const Pending& pending) {
    return dispatchers_[static_cast<size_t>(pending.arrival.number) % dispatchers_.size()].get();
  }

  void Arrive(const Pending& pending) override {
    const RequestId id(absl::StrCat(pending.arrival.number));
    const CustomerId customer(absl::StrCat("customer", pending.arrival.customer));
    RequestDispatcher* dispatcher = DispatcherFor(pending);
    const Outcome<void> outcome =
        Capture([&] { return dispatcher->Enqueue(id, customer, pending.at + kRequestDeadline); });
    if (!outcome.ok()) {
      CountRefusal(pending, /*dropped=*/false);
      return;
    }
    pending_.emplace(id, pending);
    Dispatch(dispatcher);
  }

  void Finished(const Pending& pending, int, absl::Duration service) override {
    RequestDispatcher* dispatcher = DispatcherFor(pending);
    dispatcher->Complete(RequestId(absl::StrCat(pending.arrival.number)), service, true);
    Dispatch(dispatcher);
  }

  void Dispatch(RequestDispatcher* dispatcher) {
    for (const Assignment& assignment : dispatcher->Dispatch()) {
      int executor = 0;
      if (absl::SimpleAtoi(assignment.executor.value(), &executor)) {
        const auto it = pending_.find(assignment.request);
        StartOn(it->second, executor);
        pending_.erase(it);
      }
    }
  }

  void ScheduleDropCheck() {
    loop_.After(kDropInterval, [this] {
      for (const std::unique_ptr<RequestDispatcher>& dispatcher : dispatchers_) {
        for (const RequestId& request : dispatcher->TakeUnmeetable()) {
          const auto it = pending_.find(request);
          CountRefusal(it->second, /*dropped=*/true);
          pending_.erase(it);
        }
      }
      ScheduleDropCheck();
    });
  }

  BenchLimits limits_;
  std::vector<std::unique_ptr<RequestDispatcher>> dispatchers_;
  absl::flat_hash_map<RequestId, Pending> pending_;
};

class PlainQueueSimulation : public RequestSimulation {
 public:
  PlainQueueSimulation(double load, uint64_t seed)
      : RequestSimulation(load, seed), busy_(kBenchExecutors, 0) {}

 private:
  void Arrive(const Pending& pending) override {
    queue_.push_back(pending);
    Dispatch();
  }

  void Finished(const Pending&, int executor, absl::Duration) override {
    --busy_[static_cast<size_t>(executor)];
    Dispatch();
  }

  void Dispatch() {
    for (int executor = 0; executor < kBenchExecutors && !queue_.empty(); ++executor) {
      while (busy_[static_cast<size_t>(executor)] < kBenchSlots && !queue_.empty()) {
        ++busy_[static_cast<size_t>(executor)];
        StartOn(queue_.front(), executor);
        queue_.pop_front();
      }
    }
  }

  std::deque<Pending> queue_;
  std::vector<int> busy_;
};

}  // namespace

RequestOutcome SimulateDispatcher(double load, uint64_t seed) {
  return DispatcherSimulation(1, load, seed).Run();
}

RequestOutcome SimulateDispatcherInstances(int instances, double load, uint64_t seed) {
  return DispatcherSimulation(instances, load, seed).Run();
}

RequestOutcome SimulatePlainQueue(double load, uint64_t seed) {
  return PlainQueueSimulation(load, seed).Run();
}

}  // namespace pomelotray
