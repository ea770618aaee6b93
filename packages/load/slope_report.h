#ifndef POMELOTRAY_LOAD_SLOPE_REPORT_H_
#define POMELOTRAY_LOAD_SLOPE_REPORT_H_

#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "load/slope_point.h"

namespace pomelotray {

// Returns the slope of `figure` over `size` by least-squares regression, or 0 if all sizes are
// equal.
double Slope(const std::vector<SlopePoint>& points, const std::string& size,
             const std::string& figure);

// Reads the points in `folder`, named <series>-<size>.json, and adds them and their slopes to the
// report. The series are workers, instances, running and queued.
Result<void> ReportSlopes(const std::string& folder, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_SLOPE_REPORT_H_
