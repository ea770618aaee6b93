#ifndef POMELOTRAY_CLI_HELP_TEXTS_H_
#define POMELOTRAY_CLI_HELP_TEXTS_H_

#include <map>
#include <string>

namespace pomelotray {

// The texts of help/<name>.txt by name, compiled in by CMake. "pomelotray" is the overview.
const std::map<std::string, std::string>& HelpTexts();

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_HELP_TEXTS_H_
