#include "load/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace pomelotray {
namespace {

constexpr double kKibPerMib = 1024;
// Indexes of the fields utime and stime in /proc/<pid>/stat, counted from the field after the
// closing parenthesis of the command name.
constexpr size_t kUserTicks = 11;
constexpr size_t kSystemTicks = 12;

double ReadProcessorSeconds(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string line;
  std::getline(file, line);
  const size_t end = line.rfind(')');
  if (end == std::string::npos) {
    return 0;
  }
  const std::vector<std::string> fields = absl::StrSplit(line.substr(end + 2), ' ');
  int64_t user = 0;
  int64_t system = 0;
  if (fields.size() <= kSystemTicks || !absl::SimpleAtoi(fields[kUserTicks], &user) ||
      !absl::SimpleAtoi(fields[kSystemTicks], &system)) {
    return 0;
  }
  return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::map<std::string, int64_t> ReadStatus(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/status"));
  std::map<std::string, int64_t> values;
  for (std::string line; std::getline(file, line);) {
    std::istringstream text(line);
    std::string name;
    int64_t value = 0;
    if (text >> name >> value) {
      values[name] = value;
    }
  }
  return values;
}

}  // namespace

ProcessUsage ReadProcessUsage(int pid) {
  std::map<std::string, int64_t> status = ReadStatus(pid);
  ProcessUsage usage;
  usage.processor_seconds = ReadProcessorSeconds(pid);
  usage.resident_mib = static_cast<double>(status["VmRSS:"]) / kKibPerMib;
  usage.anonymous_mib = static_cast<double>(status["RssAnon:"]) / kKibPerMib;
  usage.peak_resident_mib = static_cast<double>(status["VmHWM:"]) / kKibPerMib;
  usage.threads = status["Threads:"];
  return usage;
}

}  // namespace pomelotray
