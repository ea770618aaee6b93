#ifndef POMELOTRAY_BASE_LOG_SINK_H_
#define POMELOTRAY_BASE_LOG_SINK_H_

#include <string>

#include "base/event_log.h"

namespace pomelotray {

// Returns a sink that writes each event as one JSON line through log4cplus: to standard error, or
// to `path` when it is not empty.
EventLog::Sink MakeLogSink(const std::string& path);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_LOG_SINK_H_
