#ifndef POMELOTRAY_CLI_ARGUMENTS_H_
#define POMELOTRAY_CLI_ARGUMENTS_H_

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"

namespace pomelotray {

// Parsed command-line arguments of one command.
class Arguments {
 public:
  // Parses `args` according to the docopt usage section of `help_text`. Errors: kInvalidArgument.
  static Result<Arguments> Parse(const std::string& help_text, const std::vector<std::string>& args,
                                 bool options_first);

  // Returns true if the subcommand or boolean option `name` is present.
  bool Has(const std::string& name) const;
  std::optional<std::string> Text(const std::string& name) const;
  std::vector<std::string> List(const std::string& name) const;
  // Return nullopt if the option is absent. Errors: kInvalidArgument with the option and its value.
  Result<std::optional<absl::Duration>> Duration(const std::string& name) const;
  Result<std::optional<int64_t>> Integer(const std::string& name) const;

 private:
  std::map<std::string, docopt::value> values_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_ARGUMENTS_H_
