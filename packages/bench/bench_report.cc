#include "bench/bench_report.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace pomelotray {
namespace {

Result<void> WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out) {
    return Fail(ErrorKind::kInternal,
                absl::StrCat("Cannot write the file ", path.string(),
                             "; check the permissions and the free space of its folder."));
  }
  return {};
}

std::vector<double> ValuesOf(const std::vector<BenchReport::Row>& runs, const std::string& key) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const BenchReport::Row& run : runs) {
    values.push_back(run.at(key).get<double>());
  }
  return values;
}

// Returns the median; for an even number of values, the lower of the two middle values.
double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

}  // namespace

void BenchReport::AddRow(const std::string& table, Row row) {
  tables_[table].push_back(std::move(row));
}

void BenchReport::AddMedianRow(const std::string& table, const std::vector<Row>& runs,
                               const std::vector<std::string>& ranged) {
  Row merged = runs.front();
  for (auto& [key, value] : merged.items()) {
    if (value.is_number()) {
      value = Median(ValuesOf(runs, key));
    }
  }
  for (const std::string& key : ranged) {
    const std::vector<double> values = ValuesOf(runs, key);
    merged[key + "_min"] = *std::min_element(values.begin(), values.end());
    merged[key + "_max"] = *std::max_element(values.begin(), values.end());
  }
  AddRow(table, std::move(merged));
}

void BenchReport::AddUpperTarget(const std::string& name, const std::vector<double>& by_seed,
                                 double limit) {
  const bool met = std::all_of(by_seed.begin(), by_seed.end(),
                               [limit](double measured) { return measured <= limit; });
  AddTarget(name, by_seed, absl::StrFormat("<= %g", limit), met);
}

void BenchReport::AddLowerTarget(const std::string& name, const std::vector<double>& by_seed,
                                 double limit) {
  const bool met = std::all_of(by_seed.begin(), by_seed.end(),
                               [limit](double measured) { return measured >= limit; });
  AddTarget(name, by_seed, absl::StrFormat(">= %g", limit), met);
}

void BenchReport::AddTarget(const std::string& name, std::vector<double> by_seed,
                            const std::string& wanted, bool met) {
  if (by_seed.empty()) {
    return;
  }
  std::sort(by_seed.begin(), by_seed.end());
  targets_.push_back(Row{{"target", name},
                         {"least", by_seed.front()},
                         {"median", Median(by_seed)},
                         {"greatest", by_seed.back()},
                         {"wanted", wanted},
                         {"met", met}});
}

std::string BenchReport::FormatCell(const Row& value) {
  if (value.is_number_float()) {
    return absl::StrFormat("%.4g", value.get<double>());
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string BenchReport::FormatTable(const std::vector<Row>& rows) {
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& [key, value] : rows.front().items()) {
    lines[0].push_back(key);
  }
  for (const Row& row : rows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const auto& [key, value] : row.items()) {
      line.push_back(FormatCell(value));
    }
  }
  std::vector<size_t> widths(lines[0].size(), 0);
  for (const std::vector<std::string>& line : lines) {
    for (size_t i = 0; i < std::min(widths.size(), line.size()); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& line : lines) {
    for (size_t i = 0; i < std::min(widths.size(), line.size()); ++i) {
      absl::StrAppendFormat(&text, "%-*s  ", static_cast<int>(widths[i]), line[i]);
    }
    text += "\n";
  }
  return text;
}

std::string BenchReport::ToText() const {
  std::string text;
  for (const auto& [name, rows] : tables_) {
    absl::StrAppend(&text, "## ", name, "\n", FormatTable(rows), "\n");
  }
  if (!targets_.empty()) {
    absl::StrAppend(&text, "## targets\n", FormatTable(targets_));
  }
  return text;
}

Result<void> BenchReport::Write(const std::string& folder) const {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("Cannot create the folder ", folder, ": ", error.message(),
                             "; choose another one with --out."));
  }
  const std::filesystem::path path(folder);
  Row all;
  for (const auto& [name, rows] : tables_) {
    all[name] = rows;
    BOOST_LEAF_CHECK(WriteFile(path / (name + ".dat"), FormatTable(rows)));
  }
  all["targets"] = targets_;
  BOOST_LEAF_CHECK(WriteFile(path / "results.json", all.dump(2) + "\n"));
  return WriteFile(path / "results.txt", ToText());
}

}  // namespace pomelotray
