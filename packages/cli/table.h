#ifndef POMELOTRAY_CLI_TABLE_H_
#define POMELOTRAY_CLI_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace pomelotray {

// Text table with left-aligned columns separated by two spaces.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_TABLE_H_
