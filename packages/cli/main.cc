#include <iostream>
#include <string>
#include <vector>

#include "base/setting_table.h"
#include "cli/cli_program.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return pomelotray::CliProgram(&pomelotray::EnvironmentVariable, &std::cin, &std::cout, &std::cerr)
      .Run(args);
}
