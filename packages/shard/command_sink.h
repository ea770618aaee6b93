#ifndef POMELOTRAY_SHARD_COMMAND_SINK_H_
#define POMELOTRAY_SHARD_COMMAND_SINK_H_

#include <cstdint>

#include "ports/worker_port.h"

namespace pomelotray {

// Accepts the commands that a shard's owner issues to workers. Implementations never block.
class CommandSink {
 public:
  virtual ~CommandSink() = default;

  // Sends the start without waiting for a journal record.
  virtual void SendStart(const WorkerId& worker, const TaskStart& start) = 0;
  // Sends the start once the journal record with the sequence number `sequence` is durable.
  virtual void SendStartWhenDurable(const WorkerId& worker, const TaskStart& start,
                                    uint64_t sequence) = 0;
  virtual void SendStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_COMMAND_SINK_H_
