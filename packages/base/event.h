#ifndef POMELOTRAY_BASE_EVENT_H_
#define POMELOTRAY_BASE_EVENT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/event_catalog.h"
#include "base/hybrid_clock.h"

namespace pomelotray {

// Names of the fields that events use, so that the timeline can be filtered and checked.
namespace event_field {
inline constexpr char kJob[] = "job";
inline constexpr char kTask[] = "task";
inline constexpr char kAttempt[] = "attempt";
inline constexpr char kWorker[] = "worker";
inline constexpr char kExecutor[] = "executor";
inline constexpr char kRequest[] = "request";
inline constexpr char kCustomer[] = "customer";
inline constexpr char kShard[] = "shard";
inline constexpr char kEpoch[] = "epoch";
inline constexpr char kRevision[] = "revision";
inline constexpr char kState[] = "state";
inline constexpr char kReason[] = "reason";
inline constexpr char kPeer[] = "peer";
inline constexpr char kRepeatable[] = "repeatable";
inline constexpr char kReserved[] = "reserved";
inline constexpr char kCapacity[] = "capacity";
inline constexpr char kBoot[] = "boot";
inline constexpr char kKind[] = "kind";
}  // namespace event_field

// Value of the field "reason" of a final state that says that the job was not run.
inline constexpr char kNotRunReason[] = "not_run";

// One entry of the timeline. `process` and `sequence` identify it; `time` orders it causally with
// the events of other processes.
struct Event {
  HybridTime time;
  std::string process;
  uint64_t sequence = 0;
  EventCode code = EventCode::kProcessStarted;
  std::map<std::string, std::string> fields;
};

// One JSON object: {"time", "process", "sequence", "code", "name", <fields>...}.
void to_json(nlohmann::json& json, const Event& event);
// Returns false when `json` is not an event.
bool ParseEvent(const nlohmann::json& json, Event* event);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_EVENT_H_
