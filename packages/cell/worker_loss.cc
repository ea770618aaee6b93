#include "cell/worker_loss.h"

namespace pomelotray {

const char* WorkerLossCauseName(WorkerLossCause cause) {
  switch (cause) {
    case WorkerLossCause::kCrashed:
      return "crashed";
    case WorkerLossCause::kVanished:
      return "vanished";
    case WorkerLossCause::kCutOff:
      return "cut off";
    case WorkerLossCause::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace pomelotray
