#ifndef POMELOTRAY_REVIEW_WORLD_RECORD_H_
#define POMELOTRAY_REVIEW_WORLD_RECORD_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Milliseconds since the start of this program.
int64_t NowMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

// What a worker did with a run of a task.
struct RunEvent {
  enum class Kind { kStart, kEnd, kNoted };
  int64_t at = 0;
  std::string worker;
  Kind kind = Kind::kStart;
  std::string task;
  int64_t run = 0;
  // How the run ended; empty for starts.
  std::string how;
};

// Writes lines with their time to record.txt, and keeps the run events for the check.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  void Add(RunEvent event);
  std::vector<RunEvent> events() const;

 private:
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::vector<RunEvent> events_;
};

// Returns one line for each break of rule TWICE: two runs of a task at the same time, or a start
// after a run has ended `done`, if that end was noted by the system at any time. `crashed` names
// no worker here: the runs of a crashed worker must be recorded as ended.
std::vector<std::string> FindRunsTwice(const std::vector<RunEvent>& events);

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_RECORD_H_
