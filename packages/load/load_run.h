#ifndef POMELOTRAY_LOAD_LOAD_RUN_H_
#define POMELOTRAY_LOAD_LOAD_RUN_H_

#include "bench/bench_report.h"
#include "load/cluster_probe.h"
#include "load/deployment.h"
#include "load/request_load.h"

namespace pomelotray {

// Runs the phases of one load test against a deployment: idle, interactive requests, jobs.
class LoadRun {
 public:
  LoadRun(const Deployment* deployment, BenchReport* report)
      : deployment_(deployment), probe_(deployment), report_(report) {}

  // Returns false if an answer was wrong, a job was lost or a job started twice.
  bool Run();

 private:
  void RunIdle();
  bool RunRequests();
  // Alternates direct calls and calls through pomelotray, so that both are measured under the same
  // conditions of the machine.
  bool RunRequestPlan(const RequestLoadPlan& plan);
  bool RunJobs();
  RequestLoadResult RunDirect(const RequestLoadPlan& plan, const std::string& prefix) const;
  RequestLoadResult RunViaApi(const RequestLoadPlan& plan, const std::string& prefix) const;

  const Deployment* const deployment_;
  const ClusterProbe probe_;
  BenchReport* const report_;
  // Processor cores that all instances together use without load.
  double idle_cores_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_LOAD_RUN_H_
