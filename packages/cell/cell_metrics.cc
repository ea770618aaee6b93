#include "cell/cell_metrics.h"

#include <string>
#include <utility>

#include "absl/strings/numbers.h"

namespace pomelotray {
namespace {

// Bucket bounds in seconds, from the duration of one store call to three times the longest
// objective.
const prometheus::Histogram::BucketBoundaries& Bounds() {
  static const prometheus::Histogram::BucketBoundaries* const kBounds =
      new prometheus::Histogram::BucketBoundaries{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                  1,     2.5,  5,     10,   30,  60};
  return *kBounds;
}

// Bucket bounds in seconds around the longest time without a run, 9 s, and its parts.
const prometheus::Histogram::BucketBoundaries& RestartBounds() {
  static const prometheus::Histogram::BucketBoundaries* const kBounds =
      new prometheus::Histogram::BucketBoundaries{0.05, 0.25, 0.5, 1, 2, 4, 6, 7, 8, 9, 12, 20};
  return *kBounds;
}

prometheus::Histogram& MakeHistogram(prometheus::Registry* registry, const char* name,
                                     const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry).Add({}, Bounds());
}

void ObserveMillis(const Event& event, const char* field, prometheus::Histogram* histogram) {
  const auto it = event.fields.find(field);
  int64_t millis = 0;
  if (it != event.fields.end() && absl::SimpleAtoi(it->second, &millis)) {
    histogram->Observe(static_cast<double>(millis) / 1000.0);
  }
}

// Returns 0 if the event has no such field.
double NumberIn(const Event& event, const char* field) {
  const auto it = event.fields.find(field);
  int64_t number = 0;
  return it != event.fields.end() && absl::SimpleAtoi(it->second, &number)
             ? static_cast<double>(number)
             : 0;
}

}  // namespace

CellMetrics::CellMetrics(prometheus::Registry* registry)
    : events_(prometheus::BuildCounter()
                  .Name("pomelotray_events_total")
                  .Help("Log events by name, including those whose lines were dropped.")
                  .Register(*registry)),
      start_wait_(MakeHistogram(registry, "pomelotray_task_start_wait_seconds",
                                "Time from a job's acceptance to the start of a task.")),
      job_time_(MakeHistogram(registry, "pomelotray_job_seconds",
                              "Time from a job's acceptance to its final state.")),
      request_time_(MakeHistogram(registry, "pomelotray_request_seconds",
                                  "Time from a submission or a refused request to its answer.")),
      report_age_(MakeHistogram(
          registry, "pomelotray_report_age_seconds",
          "Age of the worker report on which the decision to start a task was based.")),
      restart_time_(prometheus::BuildHistogram()
                        .Name("pomelotray_restart_seconds")
                        .Help("Time from one run of a long-running task to the next, by part.")
                        .Register(*registry)),
      parts_(prometheus::BuildGauge()
                 .Name("pomelotray_pool_parts")
                 .Help("Pool parts by whether they have an owner, as this instance sees it.")
                 .Register(*registry)),
      slow_workers_(
          prometheus::BuildGauge()
              .Name("pomelotray_slow_workers")
              .Help("Workers of a pool part whose tasks take at least twice the usual time.")
              .Register(*registry)),
      unowned_time_(prometheus::BuildGauge()
                        .Name("pomelotray_pool_part_unowned_seconds")
                        .Help("Time for which a pool part has had no owner, of the longest one.")
                        .Register(*registry)
                        .Add({})),
      interfering_pairs_(prometheus::BuildGauge()
                             .Name("pomelotray_interfering_pairs")
                             .Help("Pairs of images that slow each other down, by pool part.")
                             .Register(*registry)),
      neighbors_avoided_(prometheus::BuildCounter()
                             .Name("pomelotray_neighbors_avoided_total")
                             .Help("Starts that avoided a worker with an interfering neighbor.")
                             .Register(*registry)
                             .Add({})),
      configuration_version_(prometheus::BuildGauge()
                                 .Name("pomelotray_configuration_version")
                                 .Help("Version of the configuration in effect.")
                                 .Register(*registry)
                                 .Add({})),
      configuration_age_(prometheus::BuildGauge()
                             .Name("pomelotray_configuration_age_seconds")
                             .Help("Time for which the configuration in effect has not been known "
                                   "to be the newest one.")
                             .Register(*registry)
                             .Add({})),
      at_cap_(prometheus::BuildGauge()
                  .Name("pomelotray_customer_at_cap")
                  .Help("Whether the demand of a workspace exceeds its cap over all pools, as the "
                        "instance that divides the caps sees it.")
                  .Register(*registry)),
      over_share_time_(prometheus::BuildCounter()
                           .Name("pomelotray_over_share_seconds_total")
                           .Help("Time for which customers were over their shares of a pool part.")
                           .Register(*registry)
                           .Add({})),
      marked_jobs_(prometheus::BuildCounter()
                       .Name("pomelotray_marked_jobs_total")
                       .Help("Jobs that exceeded the rates of their customers.")
                       .Register(*registry)
                       .Add({})) {}

void CellMetrics::ObservePoolState(const Event& event) {
  const auto part = event.fields.find("part");
  if (part != event.fields.end()) {
    slow_workers_.Add({{"part", part->second}}).Set(NumberIn(event, "slow_workers"));
    interfering_pairs_.Add({{"part", part->second}}).Set(NumberIn(event, "interfering_pairs"));
  }
  neighbors_avoided_.Increment(NumberIn(event, "neighbors_avoided"));
}

void CellMetrics::SetConfiguration(int64_t version, absl::Duration age) {
  configuration_version_.Set(static_cast<double>(version));
  configuration_age_.Set(absl::ToDoubleSeconds(age));
}

void CellMetrics::ObserveAtCap(const Event& event) {
  const auto customer = event.fields.find("customer");
  if (customer != event.fields.end()) {
    at_cap_.Add({{"customer", customer->second}}).Set(NumberIn(event, "at_cap"));
  }
}

void CellMetrics::ObserveOverShare(const Event& event) {
  over_share_time_.Increment(NumberIn(event, "customers") * NumberIn(event, "interval_ms") /
                             1000.0);
  marked_jobs_.Increment(NumberIn(event, "marked"));
}

void CellMetrics::ObservePartOwners(const Event& event) {
  for (const char* state : {"owned", "unowned"}) {
    parts_.Add({{"state", state}}).Set(NumberIn(event, state));
  }
  unowned_time_.Set(NumberIn(event, "longest_unowned_ms") / 1000.0);
}

void CellMetrics::ObserveRestart(const Event& event) {
  for (const auto& [part, field] :
       {std::pair("total", "without_run_ms"), std::pair("lease", "lease_ms"),
        std::pair("rules", "rules_ms"), std::pair("advice", "advice_ms"),
        std::pair("order", "order_ms")}) {
    ObserveMillis(event, field, &restart_time_.Add({{"part", part}}, RestartBounds()));
  }
}

prometheus::Counter& CellMetrics::CounterOf(EventCode code) {
  absl::MutexLock lock(&mutex_);
  prometheus::Counter*& counter = counters_[code];
  if (counter == nullptr) {
    counter = &events_.Add({{"name", std::string(DescribeEvent(code).name)}});
  }
  return *counter;
}

void CellMetrics::Observe(const Event& event) {
  CounterOf(event.code).Increment();
  switch (event.code) {
    case EventCode::kTaskStartSent:
      ObserveMillis(event, "waited_ms", &start_wait_);
      ObserveMillis(event, "report_age_ms", &report_age_);
      break;
    case EventCode::kTaskRestarted:
      ObserveRestart(event);
      break;
    case EventCode::kPartOwners:
      ObservePartOwners(event);
      break;
    case EventCode::kPoolState:
      ObservePoolState(event);
      break;
    case EventCode::kCustomerAtCap:
      ObserveAtCap(event);
      break;
    case EventCode::kCustomersOverShare:
      ObserveOverShare(event);
      break;
    case EventCode::kJobFinished:
      ObserveMillis(event, "took_ms", &job_time_);
      break;
    case EventCode::kRequestAnswered:
    case EventCode::kRequestRefused:
      ObserveMillis(event, "took_ms", &request_time_);
      break;
    default:
      break;
  }
}

}  // namespace pomelotray
