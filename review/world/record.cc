#include "review/world/record.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

const std::chrono::steady_clock::time_point kBegin = std::chrono::steady_clock::now();

struct Run {
  std::string worker;
  int64_t run = 0;
  int64_t started = 0;
  int64_t ended = std::numeric_limits<int64_t>::max();
  std::string how;
  bool noted = false;
};

std::string Seconds(int64_t ms) {
  if (ms == std::numeric_limits<int64_t>::max()) {
    return "never";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << static_cast<double>(ms) / 1000;
  return text.str();
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kBegin)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

Record::Record(const std::string& path) : file_(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Seconds(NowMs()) << " " << text << std::endl;
}

void Record::Add(RunEvent event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const char* kind = event.kind == RunEvent::Kind::kStart ? "started"
                     : event.kind == RunEvent::Kind::kEnd ? "ended"
                                                          : "end was noted by the system";
  file_ << Seconds(event.at) << " " << event.worker << ": " << event.task << " run " << event.run
        << " " << kind << " " << event.how << "\n";
  events_.push_back(std::move(event));
}

std::vector<RunEvent> Record::events() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return events_;
}

std::vector<std::string> FindRunsTwice(const std::vector<RunEvent>& events) {
  std::map<std::string, std::vector<Run>> tasks;
  for (const RunEvent& event : events) {
    std::vector<Run>& runs = tasks[event.task];
    if (event.kind == RunEvent::Kind::kStart) {
      Run run;
      run.worker = event.worker;
      run.run = event.run;
      run.started = event.at;
      runs.push_back(run);
      continue;
    }
    for (Run& run : runs) {
      if (run.worker == event.worker && run.run == event.run) {
        if (event.kind == RunEvent::Kind::kNoted) {
          run.noted = true;
        } else if (run.how.empty()) {
          run.ended = event.at;
          run.how = event.how;
        }
      }
    }
  }
  std::vector<std::string> breaks;
  for (const auto& [task, runs] : tasks) {
    for (const Run& first : runs) {
      for (const Run& second : runs) {
        if (&first == &second || second.started < first.started ||
            (second.started == first.started && &second < &first)) {
          continue;
        }
        const bool overlap = second.started < first.ended;
        const bool after_done = first.how == "done" && first.noted;
        if (overlap || after_done) {
          breaks.push_back(task + ": run " + std::to_string(first.run) + " on " + first.worker +
                           " from " + Seconds(first.started) + " to " + Seconds(first.ended) +
                           " (" + (first.how.empty() ? "not ended" : first.how) + "), run " +
                           std::to_string(second.run) + " on " + second.worker + " started at " +
                           Seconds(second.started));
        }
      }
    }
  }
  return breaks;
}

}  // namespace review
