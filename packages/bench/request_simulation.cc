#include "bench/request_simulation.h"

#include <deque>
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

// What both variants share: arrivals, executor times and counting.
class RequestSimulation {
 public:
  RequestSimulation(double load, uint64_t seed) : source_(load, seed) {
    start_ = loop_.Now() + kRequestWarmUp;
  }
  virtual ~RequestSimulation() = default;

  RequestOutcome Run() {
    ScheduleArrival();
    loop_.RunUntil(start_ + kRequestRun);
    return std::move(outcome_);
  }

 protected:
  struct Pending {
    RequestArrival arrival;
    absl::Time at;
  };

  virtual void Arrive(const Pending& pending) = 0;
  virtual void Finished(const Pending& pending, int executor, absl::Duration service) = 0;

  bool Counts(const Pending& pending) const { return pending.at >= start_; }

  void StartOn(const Pending& pending, int executor) {
    const absl::Duration service = pending.arrival.service * RequestSource::Slowness(executor);
    loop_.After(service, [this, pending, executor, service] {
      if (Counts(pending)) {
        CountAnswer(pending);
      }
      Finished(pending, executor, service);
    });
  }

  void CountRefusal(const Pending& pending, bool dropped) {
    if (!Counts(pending)) {
      return;
    }
    ++(dropped ? outcome_.dropped : outcome_.refused);
    outcome_.time_to_refusal.Add(absl::ToDoubleMilliseconds(loop_.Now() - pending.at));
  }

  EventLoop loop_;

 private:
  void ScheduleArrival() {
    loop_.After(source_.NextGap(), [this] {
      const Pending pending{source_.Next(), loop_.Now()};
      if (Counts(pending)) {
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
  DispatcherSimulation(double load, uint64_t seed)
      : RequestSimulation(load, seed), dispatcher_(loop_.clock(), &limits_, seed) {
    Resources capacity;
    capacity.slots = SlotCount(kBenchSlots);
    for (int i = 0; i < kBenchExecutors; ++i) {
      dispatcher_.UpsertExecutor(ExecutorId(absl::StrCat(i)), capacity, 64);
    }
    DropRegularly();
  }

 private:
  void Arrive(const Pending& pending) override {
    const RequestId id(absl::StrCat(pending.arrival.number));
    const CustomerId customer(absl::StrCat("customer", pending.arrival.customer));
    const Outcome<void> outcome =
        Capture([&] { return dispatcher_.Enqueue(id, customer, pending.at + kRequestDeadline); });
    if (!outcome.ok()) {
      CountRefusal(pending, /*dropped=*/false);
      return;
    }
    pending_.emplace(id, pending);
    Dispatch();
  }

  void Finished(const Pending& pending, int, absl::Duration service) override {
    dispatcher_.Complete(RequestId(absl::StrCat(pending.arrival.number)), service, true);
    Dispatch();
  }

  void Dispatch() {
    for (const Assignment& assignment : dispatcher_.Dispatch()) {
      int executor = 0;
      if (absl::SimpleAtoi(assignment.executor.value(), &executor)) {
        const auto it = pending_.find(assignment.request);
        StartOn(it->second, executor);
        pending_.erase(it);
      }
    }
  }

  void DropRegularly() {
    loop_.After(kDropInterval, [this] {
      for (const RequestId& request : dispatcher_.DropHopeless()) {
        const auto it = pending_.find(request);
        CountRefusal(it->second, /*dropped=*/true);
        pending_.erase(it);
      }
      DropRegularly();
    });
  }

  BenchLimits limits_;
  RequestDispatcher dispatcher_;
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
  return DispatcherSimulation(load, seed).Run();
}

RequestOutcome SimulatePlainQueue(double load, uint64_t seed) {
  return PlainQueueSimulation(load, seed).Run();
}

}  // namespace pomelotray
