#include <docopt/docopt.h>

#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "bench/bench_report.h"
#include "bench/decision_bench.h"
#include "bench/packing_bench.h"
#include "bench/request_bench.h"
#include "bench/waiting_bench.h"

namespace pomelotray {
namespace {

constexpr char kUsage[] = R"(Measures the scheduler's decisions against its baselines.

Usage:
  pomelotray-bench (decisions | waiting | packing | requests | all) [--out=FOLDER] [--seeds=LIST]
  pomelotray-bench --help

Options:
  --out=FOLDER  Folder for results.json, results.txt and the plots' data [default: bench-out].
  --seeds=LIST  Seeds of the load models, separated by commas [default: 20261204,7,1973].
                Each figure is the median over the seeds; the range is given where it matters.
                The decisions use the first seed only, because they measure time.
  --help        Show this text.

Exit codes: 0 when the figures were written, 1 when they could not be, 2 for wrong arguments.
)";

int Run(const std::vector<std::string>& arguments) {
  std::map<std::string, docopt::value> options = docopt::docopt(kUsage, arguments);
  std::vector<uint64_t> seeds;
  for (const absl::string_view part : absl::StrSplit(options["--seeds"].asString(), ',')) {
    if (!absl::SimpleAtoi(part, &seeds.emplace_back())) {
      std::cerr << "--seeds must be whole numbers separated by commas; leave it out for the "
                   "default.\n";
      return 2;
    }
  }
  const bool all = options["all"].asBool();
  BenchReport report;
  if (all || options["decisions"].asBool()) {
    RunDecisionBench(seeds.front(), &report);
  }
  if (all || options["packing"].asBool()) {
    RunPackingBench(seeds, &report);
  }
  if (all || options["requests"].asBool()) {
    RunRequestBench(seeds, &report);
  }
  if (all || options["waiting"].asBool()) {
    RunWaitingBench(seeds, &report);
  }
  std::cout << report.ToText();
  const Outcome<void> written = Capture([&] { return report.Write(options["--out"].asString()); });
  if (!written.ok()) {
    std::cerr << written.error() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace pomelotray

int main(int argc, char** argv) {
  return pomelotray::Run(std::vector<std::string>(argv + 1, argv + argc));
}
