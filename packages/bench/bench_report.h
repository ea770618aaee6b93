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
  // Records whether a measured figure meets its target.
  void AddTarget(const std::string& name, double measured, const std::string& target, bool met);

  std::string ToText() const;
  // Writes results.json, results.txt and one space-separated <table>.dat per table for the plots.
  Result<void> Write(const std::string& folder) const;

 private:
  static std::string FormatCell(const Row& value);
  static std::string FormatTable(const std::vector<Row>& rows);

  std::map<std::string, std::vector<Row>> tables_;
  std::vector<Row> targets_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_BENCH_REPORT_H_
