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
                absl::StrCat("Cannot write ", path.string(), "; check the folder's permissions."));
  }
  return {};
}

}  // namespace

void BenchReport::AddRow(const std::string& table, Row row) {
  tables_[table].push_back(std::move(row));
}

void BenchReport::AddTarget(const std::string& name, double measured, const std::string& target,
                            bool met) {
  targets_.push_back(
      Row{{"target", name}, {"measured", measured}, {"wanted", target}, {"met", met}});
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
