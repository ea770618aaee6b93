#ifndef POMELOTRAY_LOAD_PROCESS_USAGE_H_
#define POMELOTRAY_LOAD_PROCESS_USAGE_H_

#include <cstdint>

namespace pomelotray {

// Resource usage of a process, read from /proc/<pid>.
struct ProcessUsage {
  // User and system time of all threads. The kernel reports it in clock ticks of 10 ms.
  double processor_seconds = 0;
  double resident_mib = 0;
  // Resident memory that is not backed by files.
  double anonymous_mib = 0;
  double peak_resident_mib = 0;
  int64_t threads = 0;
};

// Returns zeros if the process has ended.
ProcessUsage ReadProcessUsage(int pid);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_PROCESS_USAGE_H_
