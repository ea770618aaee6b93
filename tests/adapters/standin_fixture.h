#ifndef POMELOTRAY_TESTS_ADAPTERS_STANDIN_FIXTURE_H_
#define POMELOTRAY_TESTS_ADAPTERS_STANDIN_FIXTURE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "adapters/http_channel.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/system_clock.h"

namespace pomelotray {

// Clocks and an event log for one in-process stand-in, and a way to set its faults.
struct StandinFixture {
  // Sets the fault of the stand-in at `address`, e.g. {{"mode", "down"}}.
  static void SetFault(const std::string& address, const nlohmann::json& fault) {
    HttpChannel channel{HttpOptions{}};
    HttpCall call;
    call.path = "/fault";
    call.body = fault;
    call.timeout = absl::Seconds(5);
    (void)Capture([&] { return channel.Call(address, call); });
  }

  // Long enough that no test depends on it unless it waits for it on purpose.
  static constexpr absl::Duration kLongTimeout = absl::Seconds(20);

  SystemClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"w1", &hybrid_clock};
};

// The kind of a failed outcome; kInternal for a success, which no test expects.
template <typename T>
ErrorKind KindOf(const Outcome<T>& outcome) {
  return outcome.ok() ? ErrorKind::kInternal : outcome.error().kind;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_ADAPTERS_STANDIN_FIXTURE_H_
