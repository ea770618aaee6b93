#include "load/slope_point.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "load/cluster_probe.h"
#include "load/job_load.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kSettleTime = absl::Seconds(4);
constexpr absl::Duration kStartTimeout = absl::Seconds(30);
// Capacity of each worker stand-in that scripts/load starts.
constexpr int64_t kWorkerMilliCores = 16'000;
constexpr double kMillisPerSecond = 1000;

// Submits jobs that run until the deployment stops and returns how many of them have started. Waits
// for their starts only if `starts` is true; otherwise the jobs are expected to stay queued.
Result<int> SubmitBackgroundJobs(const Deployment& deployment, const char* prefix, int jobs,
                                 int64_t cpu_millicores, bool starts) {
  const JobLoad load(&deployment);
  JobLoadPlan plan;
  plan.key_prefix = prefix;
  plan.jobs = jobs;
  plan.cpu_millicores = cpu_millicores;
  plan.memory_mib = 16;
  const JobLoadResult result = load.Submit(plan);
  if (result.Refused() > 0) {
    return Fail(ErrorKind::kInternal,
                absl::StrCat(result.RefusedText(), " of ", jobs,
                             " background jobs were refused: ", result.first_refusal));
  }
  if (!starts) {
    return static_cast<int>(load.WaitForStarts(result, absl::ZeroDuration()).first.size());
  }
  return static_cast<int>(load.WaitForStarts(result, kStartTimeout).first.size());
}

Result<void> SubmitBackgroundWork(const Deployment& deployment, const BackgroundWork& work) {
  if (work.running > 0) {
    const int64_t workers = static_cast<int64_t>(deployment.WorkerCount());
    BOOST_LEAF_AUTO(started,
                    SubmitBackgroundJobs(deployment, "running", work.running,
                                         kWorkerMilliCores * workers / work.running, true));
    if (started != work.running) {
      return Fail(ErrorKind::kInternal,
                  absl::StrCat(started, " of ", work.running, " background tasks started."));
    }
  }
  if (work.queued > 0) {
    BOOST_LEAF_AUTO(
        started, SubmitBackgroundJobs(deployment, "queued", work.queued, kWorkerMilliCores, false));
    if (started != 0) {
      return Fail(
          ErrorKind::kInternal,
          absl::StrCat(started, " background jobs started that should have stayed queued."));
    }
  }
  return {};
}

}  // namespace

Result<SlopePoint> MeasureSlopePoint(const Deployment& deployment, const BackgroundWork& work,
                                     absl::Duration window) {
  BOOST_LEAF_CHECK(SubmitBackgroundWork(deployment, work));
  absl::SleepFor(kSettleTime);
  const ClusterProbe probe(&deployment);
  const ClusterReading before = probe.Read();
  absl::SleepFor(window);
  const ClusterReading growth = ClusterProbe::Difference(before, probe.Read());
  const double instances = static_cast<double>(deployment.instances.size());
  const double instance_seconds = instances * growth.seconds;
  SlopePoint point = {
      {"workers", static_cast<double>(deployment.WorkerCount())},
      {"instances", instances},
      {"running", static_cast<double>(work.running)},
      {"queued", static_cast<double>(work.queued)},
      {"cpu_ms_s", growth.ProcessorSeconds() * kMillisPerSecond / instance_seconds},
      {"resident_mib", growth.MeanResidentMib()},
      {"anonymous_mib", growth.MeanAnonymousMib()},
      {"threads", growth.MaxThreads()},
      {"worker_bytes_s", growth.worker_bytes / growth.seconds},
      {"worker_calls_s", growth.worker_calls / growth.seconds},
      {"peer_bytes_s", growth.peer_bytes_at_both_ends / instance_seconds},
      {"store_calls_s", growth.StoreCalls() / instance_seconds},
      {"store_counted_s", growth.StoreCountsTotal() / instance_seconds},
  };
  for (const auto& [key, traffic] : growth.peer) {
    point[absl::StrCat("sent_and_answered_bytes_s_", key.first)] +=
        traffic.bytes / instance_seconds;
  }
  for (const auto& [kind, calls] : growth.store_calls) {
    point["store_" + kind + "_s"] = calls / instance_seconds;
  }
  return point;
}

Result<void> WriteSlopePoint(const SlopePoint& point, const std::string& path) {
  std::ofstream file(path);
  file << nlohmann::json(point).dump(2) << "\n";
  file.close();
  if (!file) {
    return Fail(
        ErrorKind::kInternal,
        "File " + path + " could not be written; check that its folder exists and is writable.");
  }
  return {};
}

Result<SlopePoint> ReadSlopePoint(const std::string& path) {
  std::ifstream file(path);
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return Fail(
        ErrorKind::kNotFound,
        "File " + path + " does not contain a measurement; create it with pomelotray-load point.");
  }
  SlopePoint point;
  for (auto it = json.begin(); it != json.end(); ++it) {
    if (it->is_number()) {
      point[it.key()] = it->get<double>();
    }
  }
  return point;
}

}  // namespace pomelotray
