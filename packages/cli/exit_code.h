#ifndef POMELOTRAY_CLI_EXIT_CODE_H_
#define POMELOTRAY_CLI_EXIT_CODE_H_

#include "base/error.h"

namespace pomelotray {

// Exit codes of the pomelotray program, documented in docs/cli.md.
enum ExitCode {
  kExitSuccess = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitRefused = 3,
  kExitUnreachable = 4,
  kExitConflict = 5,
  kExitOutcomeUnknown = 6,
};

int ExitCodeOf(const Error& error);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_EXIT_CODE_H_
