#include "load/load_run.h"

#include <iostream>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "load/job_load.h"
#include "load/phase_report.h"

namespace pomelotray {
namespace {

// Time for heartbeats, claims and slices to reach a steady state after startup.
constexpr absl::Duration kSettleTime = absl::Seconds(5);
constexpr absl::Duration kIdleTime = absl::Seconds(20);
constexpr absl::Duration kStartTimeout = absl::Seconds(30);
constexpr int kRounds = 2;
constexpr int kOpenLoopClients = 32;
constexpr int kJobs = 800;
constexpr double kMillisPerSecond = 1000;

const std::vector<RequestLoadPlan>& RequestPlans() {
  static const std::vector<RequestLoadPlan>* const kPlans = new std::vector<RequestLoadPlan>{
      {"closed, 1 client", 1, 0},
      {"closed, 16 clients", 16, 0},
      {"open, 100/s", kOpenLoopClients, 100},
      {"open, 400/s", kOpenLoopClients, 400},
  };
  return *kPlans;
}

double Ratio(double value, double base) { return base > 0 ? Rounded(value / base) : 0; }

}  // namespace

bool LoadRun::Run() {
  absl::SleepFor(kSettleTime);
  RunIdle();
  const bool requests_correct = RunRequests();
  const bool jobs_correct = RunJobs();
  return requests_correct && jobs_correct;
}

void LoadRun::RunIdle() {
  const ClusterReading before = probe_.Read();
  absl::SleepFor(kIdleTime);
  const ClusterReading growth = ClusterProbe::Difference(before, probe_.Read());
  idle_cores_ = growth.ProcessorSeconds() / growth.seconds;
  ReportPhase("idle", {"idle second", growth.seconds}, growth, report_);
}

RequestLoadResult LoadRun::RunDirect(const RequestLoadPlan& plan, const std::string& prefix) const {
  return RequestLoad(plan,
                     [this](int client) {
                       const size_t executor =
                           static_cast<size_t>(client) % deployment_->direct_executors.size();
                       return std::make_unique<DirectRequestTarget>(
                           deployment_->direct_executors[executor]);
                     })
      .Run(prefix);
}

RequestLoadResult LoadRun::RunViaApi(const RequestLoadPlan& plan, const std::string& prefix) const {
  return RequestLoad(plan,
                     [this](int client) {
                       const size_t instance =
                           static_cast<size_t>(client) % deployment_->instances.size();
                       return std::make_unique<ApiRequestTarget>(
                           deployment_->instances[instance].address, deployment_->operator_token);
                     })
      .Run(prefix);
}

bool LoadRun::RunRequests() {
  // Warm up first: the first requests are delayed until slices and estimates of the service time
  // are available.
  RequestLoadPlan warm_up = RequestPlans()[1];
  RunViaApi(warm_up, "warm-up");
  RunDirect(warm_up, "warm-up");
  bool correct = true;
  for (const RequestLoadPlan& plan : RequestPlans()) {
    correct = RunRequestPlan(plan) && correct;
  }
  return correct;
}

bool LoadRun::RunRequestPlan(const RequestLoadPlan& plan) {
  RequestLoadResult direct;
  RequestLoadResult through;
  double processor_seconds = 0;
  double seconds = 0;
  const ClusterReading before = probe_.Read();
  for (int round = 0; round < kRounds; ++round) {
    const std::string prefix = absl::StrCat("r-", plan.clients, "-", plan.rate, "-", round);
    direct.Merge(RunDirect(plan, prefix + "-d"));
    const double processor_before = probe_.ProcessorSeconds();
    const absl::Time begin = absl::Now();
    through.Merge(RunViaApi(plan, prefix + "-t"));
    seconds += absl::ToDoubleSeconds(absl::Now() - begin);
    processor_seconds += probe_.ProcessorSeconds() - processor_before;
  }
  const double requests = static_cast<double>(through.sent);
  ReportPhase("requests, " + plan.name, {"request", requests},
              ClusterProbe::Difference(before, probe_.Read()), report_);
  BenchReport::Row row = {{"load", plan.name},
                          {"direct_sent", direct.sent},
                          {"through_sent", through.sent},
                          {"failed", direct.failed + through.failed},
                          {"wrong", direct.wrong_answers + through.wrong_answers}};
  for (const auto& [name, fraction] :
       std::vector<std::pair<std::string, double>>{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    const double base = direct.latency_ms.Quantile(fraction);
    const double latency = through.latency_ms.Quantile(fraction);
    row[name + "_direct_ms"] = Rounded(base);
    row[name + "_through_ms"] = Rounded(latency);
    row[name + "_added_ms"] = Rounded(latency - base);
    row[name + "_ratio"] = Ratio(latency, base);
  }
  row["cpu_ms_per_request"] = Ratio(processor_seconds * kMillisPerSecond, requests);
  row["cpu_ms_above_idle"] =
      Ratio((processor_seconds - idle_cores_ * seconds) * kMillisPerSecond, requests);
  report_->AddRow("requests", row);
  return direct.wrong_answers + through.wrong_answers == 0;
}

bool LoadRun::RunJobs() {
  JobLoad load(deployment_);
  JobLoadPlan plan;
  plan.jobs = kJobs;
  plan.cpu_millicores = 500;
  plan.memory_mib = 256;
  plan.run_ms = 50;
  bool correct = true;
  for (const bool repeatable : {true, false}) {
    plan.repeatable = repeatable;
    plan.key_prefix = repeatable ? "repeatable" : "once";
    const ClusterReading before = probe_.Read();
    const JobLoadResult submitted = load.Submit(plan);
    const JobStarts starts = load.WaitForStarts(submitted, kStartTimeout);
    const ClusterReading growth = ClusterProbe::Difference(before, probe_.Read());
    if (!submitted.first_refusal.empty()) {
      std::cerr << "The first refused job was answered with: " << submitted.first_refusal << "\n";
    }
    Samples start_ms;
    absl::Time last_start = submitted.begin;
    for (const auto& [job, time] : starts.first) {
      start_ms.Add(absl::ToDoubleMilliseconds(time - submitted.submitted.at(job)));
      last_start = std::max(last_start, time);
    }
    const double accepted = static_cast<double>(submitted.submitted.size());
    const double started = static_cast<double>(starts.first.size());
    ReportPhase("jobs, " + plan.key_prefix, {"job", accepted}, growth, report_);
    const double cpu_ms = growth.ProcessorSeconds() * kMillisPerSecond;
    const double idle_ms = idle_cores_ * growth.seconds * kMillisPerSecond;
    report_->AddRow(
        "jobs", {{"jobs", plan.key_prefix},
                 {"accepted", accepted},
                 {"refused", submitted.RefusedText()},
                 {"started", started},
                 {"started_twice", starts.repeated},
                 {"accepted_s", Ratio(accepted, absl::ToDoubleSeconds(submitted.last_accepted -
                                                                      submitted.begin))},
                 {"starts_s", Ratio(started, absl::ToDoubleSeconds(last_start - submitted.begin))},
                 {"accept_p50_ms", Rounded(submitted.accept_ms.Quantile(0.5))},
                 {"accept_p99_ms", Rounded(submitted.accept_ms.Quantile(0.99))},
                 {"start_p50_ms", Rounded(start_ms.Quantile(0.5))},
                 {"start_p99_ms", Rounded(start_ms.Quantile(0.99))},
                 {"start_max_ms", Rounded(start_ms.Quantile(1))},
                 {"cpu_ms_per_job", Ratio(cpu_ms, accepted)},
                 {"cpu_ms_above_idle", Ratio(cpu_ms - idle_ms, accepted)}});
    correct = correct && starts.repeated == 0 && started == accepted;
  }
  return correct;
}

}  // namespace pomelotray
