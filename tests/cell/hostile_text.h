#ifndef POMELOTRAY_TESTS_CELL_HOSTILE_TEXT_H_
#define POMELOTRAY_TESTS_CELL_HOSTILE_TEXT_H_

#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/event_log.h"

namespace pomelotray {

// Arrays nested deeper than any stack can follow. `closed` adds the closing brackets.
inline std::string DeepArrays(bool closed) {
  constexpr size_t kLevels = 3'000'000;
  return std::string(kLevels, '[') + (closed ? std::string(kLevels, ']') : "");
}

// Returns how many lines the log has about the entry with this key.
inline size_t UnreadableLines(const EventLog& events, const std::string& key) {
  size_t lines = 0;
  for (const Event& event : events.Select({{"key", key}})) {
    lines += event.code == EventCode::kUnreadableEntry ? 1 : 0;
  }
  return lines;
}

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_HOSTILE_TEXT_H_
