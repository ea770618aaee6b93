#ifndef POMELOTRAY_CLI_HELP_TEXTS_H_
#define POMELOTRAY_CLI_HELP_TEXTS_H_

#include <map>
#include <string>

namespace pomelotray {

// Returns the contents of help/<name>.txt by name, embedded by CMake. "pomelotray" is the overview.
const std::map<std::string, std::string>& HelpTexts();

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_HELP_TEXTS_H_
