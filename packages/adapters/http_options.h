#ifndef POMELOTRAY_ADAPTERS_HTTP_OPTIONS_H_
#define POMELOTRAY_ADAPTERS_HTTP_OPTIONS_H_

#include <cstddef>
#include <string>

#include "absl/time/time.h"
#include "base/clock.h"
#include "base/hybrid_clock.h"

namespace pomelotray {

struct HttpOptions {
  // "<ip>:<port>" of interfaces with one fixed address; unused by the others.
  std::string address;
  absl::Duration connect_timeout = absl::Seconds(1);
  // Time for a whole call; calls that wait on purpose add their waiting time.
  absl::Duration call_timeout = absl::Seconds(2);
  // The system clock when null.
  const Clock* clock = nullptr;
  // When set, calls carry hybrid logical time both ways.
  HybridClock* hybrid_clock = nullptr;
};

// Setters shared by the builders of all HTTP adapters.
template <typename Derived>
class HttpOptionsBuilder {
 public:
  Derived& SetAddress(std::string address) {
    options_.address = std::move(address);
    return self();
  }
  Derived& SetConnectTimeout(absl::Duration timeout) {
    options_.connect_timeout = timeout;
    return self();
  }
  Derived& SetCallTimeout(absl::Duration timeout) {
    options_.call_timeout = timeout;
    return self();
  }
  Derived& SetClock(const Clock* clock) {
    options_.clock = clock;
    return self();
  }
  Derived& SetHybridClock(HybridClock* clock) {
    options_.hybrid_clock = clock;
    return self();
  }

 protected:
  HttpOptions options_;

 private:
  Derived& self() { return static_cast<Derived&>(*this); }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_OPTIONS_H_
