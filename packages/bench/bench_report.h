#ifndef POMELOTRAY_BENCH_BENCH_REPORT_H_
#define POMELOTRAY_BENCH_BENCH_REPORT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"

namespace pomelotray {

// Collects tables of benchmark results and checks results against their targets.
class BenchReport {
 public:
  using Row = nlohmann::ordered_json;

  void AddRow(const std::string& table, Row row);
  // Adds one row that merges the runs of one variant with different seeds. Each numeric column
  // holds the median; the columns named in `ranged` also get their minimum and maximum as
  // <column>_min and <column>_max.
  void AddMedianRow(const std::string& table, const std::vector<Row>& runs,
                    const std::vector<std::string>& ranged);
  // Record a target, which is met only if the values of all seeds are within `limit`. A target
  // without values is left out.
  void AddUpperTarget(const std::string& name, const std::vector<double>& by_seed, double limit);
  void AddLowerTarget(const std::string& name, const std::vector<double>& by_seed, double limit);

  std::string ToText() const;
  // Writes results.json, results.txt and, for plotting, one column-aligned <table>.dat per table
  // to `folder`, which is created if necessary.
  Result<void> Write(const std::string& folder) const;

 private:
  void AddTarget(const std::string& name, std::vector<double> by_seed, const std::string& wanted,
                 bool met);
  static std::string FormatCell(const Row& value);
  static std::string FormatTable(const std::vector<Row>& rows);

  std::map<std::string, std::vector<Row>> tables_;
  std::vector<Row> targets_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_BENCH_REPORT_H_
