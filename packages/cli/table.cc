#include "cli/table.h"

#include <algorithm>
#include <utility>

namespace pomelotray {

Table::Table(std::vector<std::string> header) { AddRow(std::move(header)); }

void Table::AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void Table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace pomelotray
