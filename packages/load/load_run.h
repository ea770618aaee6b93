#ifndef POMELOTRAY_LOAD_LOAD_RUN_H_
#define POMELOTRAY_LOAD_LOAD_RUN_H_

#include "bench/bench_report.h"
#include "load/cluster_probe.h"
#include "load/deployment.h"
#include "load/request_load.h"

namespace pomelotray {

// The phases of one run against a deployment: idle, interactive requests, jobs.
class LoadRun {
 public:
  LoadRun(const Deployment* deployment, BenchReport* report)
      : deployment_(deployment), probe_(deployment), report_(report) {}

  // Returns false when an answer was wrong, or a job was lost or started twice.
  bool Run();

 private:
  void RunIdle();
  bool RunRequests();
  // Direct calls and calls through pomelotray in turn, so that both meet the same machine.
  bool RunRequestPlan(const RequestLoadPlan& plan);
  bool RunJobs();
  RequestLoadResult RunDirect(const RequestLoadPlan& plan, const std::string& prefix) const;
  RequestLoadResult RunThrough(const RequestLoadPlan& plan, const std::string& prefix) const;

  const Deployment* const deployment_;
  const ClusterProbe probe_;
  BenchReport* const report_;
  // Cores that all instances use without load.
  double idle_cores_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_LOAD_RUN_H_
