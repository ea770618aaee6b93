#ifndef POMELOTRAY_BENCH_BENCH_REPORT_H_
#define POMELOTRAY_BENCH_BENCH_REPORT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"

namespace pomelotray {

// Tables of measured figures and the targets that they are judged by.
class BenchReport {
 public:
  using Row = nlohmann::ordered_json;

  void AddRow(const std::string& table, Row row);
  // Adds one row for the runs of one variant over several seeds: the median of each number, and
  // the least and the greatest value of the named ones.
  void AddMedianRow(const std::string& table, const std::vector<Row>& runs,
                    const std::vector<std::string>& ranged);
  // Records whether a figure meets its target with every seed.
  void AddUpperTarget(const std::string& name, const std::vector<double>& by_seed, double limit);
  void AddLowerTarget(const std::string& name, const std::vector<double>& by_seed, double limit);

  std::string ToText() const;
  // Writes results.json, results.txt and one space-separated <table>.dat per table for the plots.
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
