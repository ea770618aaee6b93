#ifndef POMELOTRAY_STATE_STATE_CONTEXT_H_
#define POMELOTRAY_STATE_STATE_CONTEXT_H_

#include "base/clock.h"
#include "base/event_log.h"
#include "ports/store_port.h"

namespace pomelotray {

// Dependencies shared by the classes of this package. The objects must outlive every class that
// holds a copy of the context.
struct StateContext {
  StorePort* store = nullptr;
  const Clock* clock = nullptr;
  EventLog* events = nullptr;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_STATE_CONTEXT_H_
