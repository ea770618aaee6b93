#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "bench/bench_report.h"
#include "load/cluster_setup.h"
#include "load/deployment.h"
#include "load/load_run.h"
#include "load/slope_point.h"
#include "load/slope_report.h"

namespace pomelotray {
namespace {

constexpr char kUsage[] =
    R"(Generates load on a deployment started by scripts/load and measures its processes.

Usage:
  pomelotray-load run --deployment=FILE [--out=FOLDER]
  pomelotray-load point --deployment=FILE --file=FILE [--running=N] [--queued=N] [--seconds=N]
  pomelotray-load slopes [--out=FOLDER]
  pomelotray-load --help

Commands:
  run     Measures the deployment when idle, under interactive requests and under jobs.
  point   Measures one idle window with the given background work and writes the result to a
          file.
  slopes  Computes the cost per worker, instance, running task and queued job from the files
          <series>-<size>.json in a folder.

Options:
  --deployment=FILE  Addresses and process ids of the deployment, as JSON.
  --out=FOLDER       Folder for results.json and results.txt, and for the files that slopes
                     reads [default: load-out].
  --file=FILE        File to write the measurement to.
  --running=N        Number of tasks that together fill all workers [default: 0].
  --queued=N         Number of jobs that stay queued, each for a whole worker [default: 0].
  --seconds=N        Length of the measurement in seconds [default: 10].
  --help             Show this text.

Exit codes: 0 if the results were written and every answer was correct, 1 otherwise, 2 for invalid
arguments.
)";

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

// Parses a non-negative integer; exits with kExitUsage if the value is not one.
int Number(const Arguments& arguments, const char* name) {
  int number = -1;
  if (!absl::SimpleAtoi(arguments.at(name).asString(), &number) || number < 0) {
    std::cerr << name << " must be a non-negative integer.\n";
    std::exit(kExitUsage);
  }
  return number;
}

Result<bool> RunLoad(const Arguments& arguments) {
  BOOST_LEAF_AUTO(deployment, ReadDeployment(arguments.at("--deployment").asString()));
  BOOST_LEAF_CHECK(PrepareCluster(deployment));
  BenchReport report;
  const bool correct = LoadRun(&deployment, &report).Run();
  std::cout << report.ToText();
  BOOST_LEAF_CHECK(report.Write(arguments.at("--out").asString()));
  if (!correct) {
    std::cerr << "An answer was wrong, a job was lost or a job started twice; see the results.\n";
  }
  return correct;
}

Result<bool> MeasurePoint(const Arguments& arguments) {
  BOOST_LEAF_AUTO(deployment, ReadDeployment(arguments.at("--deployment").asString()));
  BOOST_LEAF_CHECK(PrepareCluster(deployment));
  const BackgroundWork work{Number(arguments, "--running"), Number(arguments, "--queued")};
  BOOST_LEAF_AUTO(
      point, MeasureSlopePoint(deployment, work, absl::Seconds(Number(arguments, "--seconds"))));
  BOOST_LEAF_CHECK(WriteSlopePoint(point, arguments.at("--file").asString()));
  return true;
}

Result<bool> ComputeSlopes(const Arguments& arguments) {
  const std::string folder = arguments.at("--out").asString();
  BenchReport report;
  BOOST_LEAF_CHECK(ReportSlopes(folder, &report));
  std::cout << report.ToText();
  BOOST_LEAF_CHECK(report.Write(folder));
  return true;
}

int Main(const std::vector<std::string>& given) {
  const Arguments arguments = docopt::docopt(kUsage, given, /*help=*/true);
  const Outcome<bool> outcome = Capture([&] {
    if (arguments.at("run").asBool()) {
      return RunLoad(arguments);
    }
    return arguments.at("point").asBool() ? MeasurePoint(arguments) : ComputeSlopes(arguments);
  });
  if (!outcome.ok()) {
    std::cerr << "pomelotray-load: " << outcome.error().message << "\n";
    return kExitFailed;
  }
  return outcome.value() ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace pomelotray

int main(int argc, char** argv) {
  return pomelotray::Main(std::vector<std::string>(argv + 1, argv + argc));
}
