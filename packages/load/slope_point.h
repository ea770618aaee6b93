#ifndef POMELOTRAY_LOAD_SLOPE_POINT_H_
#define POMELOTRAY_LOAD_SLOPE_POINT_H_

#include <map>
#include <string>

#include "absl/time/time.h"
#include "base/error.h"
#include "load/deployment.h"

namespace pomelotray {

// Deployment sizes and measured figures of one idle window, such as
// {"workers": 40, "cpu_ms_s": 12.5}.
using SlopePoint = std::map<std::string, double>;

// Work that is submitted before the measurement and stays in the deployment throughout it.
struct BackgroundWork {
  // Number of tasks that keep running; together they fill all workers.
  int running = 0;
  // Number of jobs that stay queued because each needs a whole free worker.
  int queued = 0;
};

// Measures one idle window. Figures are averages over the instances.
Result<SlopePoint> MeasureSlopePoint(const Deployment& deployment, const BackgroundWork& work,
                                     absl::Duration window);

Result<void> WriteSlopePoint(const SlopePoint& point, const std::string& path);
Result<SlopePoint> ReadSlopePoint(const std::string& path);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_SLOPE_POINT_H_
