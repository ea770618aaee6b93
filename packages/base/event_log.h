#ifndef POMELOTRAY_BASE_EVENT_LOG_H_
#define POMELOTRAY_BASE_EVENT_LOG_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/epoch.h"
#include "base/event.h"
#include "base/shard_id.h"
#include "base/strong_id.h"

namespace pomelotray {

class EventLog;

// Collects the fields of one event; Emit() writes it.
//   log.Record(EventCode::kTaskStarted).Job(job).Worker(worker).Emit();
class EventBuilder {
 public:
  EventBuilder(EventLog* log, EventCode code) : log_(log) { event_.code = code; }

  EventBuilder& With(const char* field, std::string_view value);
  EventBuilder& With(const char* field, int64_t value);
  EventBuilder& Job(const JobId& id) { return With(event_field::kJob, id.value()); }
  EventBuilder& Task(const TaskId& id) { return With(event_field::kTask, id.value()); }
  EventBuilder& Attempt(const AttemptId& id) { return With(event_field::kAttempt, id.value()); }
  EventBuilder& Worker(const WorkerId& id) { return With(event_field::kWorker, id.value()); }
  EventBuilder& Executor(const ExecutorId& id) { return With(event_field::kExecutor, id.value()); }
  EventBuilder& Request(const RequestId& id) { return With(event_field::kRequest, id.value()); }
  EventBuilder& Customer(const CustomerId& id) { return With(event_field::kCustomer, id.value()); }
  EventBuilder& Shard(const ShardId& id) { return With(event_field::kShard, id.ToString()); }
  EventBuilder& Peer(const InstanceId& id) { return With(event_field::kPeer, id.value()); }
  EventBuilder& At(const Epoch& epoch);
  void Emit();

 private:
  EventLog* const log_;
  Event event_;
};

// Records numbered events: keeps the latest in memory for the timeline and passes each to the sink.
// Thread-safe.
class EventLog {
 public:
  using Sink = std::function<void(const Event&)>;

  // Keeps at most `capacity` events in memory; 0: the sink alone gets them.
  EventLog(std::string process, HybridClock* clock, Sink sink = nullptr,
           size_t capacity = kDefaultCapacity);

  EventBuilder Record(EventCode code) { return EventBuilder(this, code); }

  // Events still in memory whose field values equal all of `filter`, oldest first.
  std::vector<Event> Select(const std::map<std::string, std::string>& filter) const;

  HybridClock* clock() const { return clock_; }

 private:
  // An event with its fields as MessagePack. A map of strings takes 850 bytes for six fields,
  // because each entry and each longer string is an allocation of its own.
  struct PackedEvent {
    HybridTime time;
    uint64_t sequence = 0;
    EventCode code = EventCode::kProcessStarted;
    std::vector<uint8_t> fields;
  };

  friend class EventBuilder;
  // About 300 bytes an event: 4 MB of the 32 MB that a node may use for control.
  static constexpr size_t kDefaultCapacity = 12'000;

  void Append(Event event);
  Event Unpack(const PackedEvent& packed) const;

  const std::string process_;
  HybridClock* const clock_;
  const Sink sink_;
  const size_t capacity_;
  mutable absl::Mutex mutex_;
  uint64_t next_sequence_ ABSL_GUARDED_BY(mutex_) = 1;
  std::deque<std::shared_ptr<const PackedEvent>> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_EVENT_LOG_H_
