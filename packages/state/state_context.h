#ifndef POMELOTRAY_STATE_STATE_CONTEXT_H_
#define POMELOTRAY_STATE_STATE_CONTEXT_H_

#include "base/clock.h"
#include "base/event_log.h"
#include "ports/store_port.h"

namespace pomelotray {

// What every class of this package works with. All three outlive the classes that hold a copy.
struct StateContext {
  StorePort* store = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_STATE_CONTEXT_H_
