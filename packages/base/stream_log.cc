#include "base/stream_log.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Lines of this time are written together: one wake-up for many lines.
constexpr absl::Duration kWriteInterval = absl::Milliseconds(100);
// A reader that takes nothing for this long loses the lines.
constexpr int kWriteTimeoutMs = 1000;

}  // namespace

StreamLog::StreamLog(int fd, const Clock* clock, Limits limits)
    : fd_(fd), clock_(clock), limits_(limits), thread_([this] { Run(); }) {}

StreamLog::~StreamLog() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  thread_.join();
}

void StreamLog::Flush() {
  absl::MutexLock lock(&mutex_);
  flushing_ = true;
  changed_.SignalAll();
  while (writing_ || !buffer_.empty()) {
    changed_.Wait(&mutex_);
  }
  flushing_ = false;
}

EventLog::Sink StreamLog::sink() {
  return [this](const Event& event) { Append(event); };
}

bool StreamLog::WithinRate(EventLevel level) {
  const absl::Time now = clock_->Now();
  if (now - window_ >= absl::Seconds(1)) {
    window_ = now;
    window_lines_ = 0;
  }
  return ++window_lines_ <= limits_.max_lines_per_second || level != EventLevel::kInfo;
}

bool StreamLog::Admit(EventLevel level) {
  absl::MutexLock lock(&mutex_);
  const bool admitted = WithinRate(level);
  if (!admitted) {
    CountDrop();
  }
  return admitted;
}

void StreamLog::CountDrop() {
  ++dropped_;
  ++unreported_drops_;
}

void StreamLog::Append(const Event& event) {
  // Lines over the rate are not formatted: they come when the processor is busiest.
  if (!Admit(DescribeEvent(event.code).level)) {
    return;
  }
  const nlohmann::json json = event;
  const std::string line =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  absl::MutexLock lock(&mutex_);
  if (buffer_.size() + line.size() > limits_.max_buffered_bytes) {
    CountDrop();
    return;
  }
  const bool was_empty = buffer_.empty();
  buffer_ += line;
  if (was_empty) {
    changed_.Signal();
  }
}

void StreamLog::Run() {
  for (;;) {
    std::string text;
    bool last = false;
    {
      absl::MutexLock lock(&mutex_);
      while (!stopping_ && buffer_.empty()) {
        changed_.Wait(&mutex_);
      }
      const absl::Time end = clock_->Now() + kWriteInterval;
      while (!stopping_ && !flushing_ && clock_->Now() < end) {
        clock_->WaitUntil(&changed_, &mutex_, end);
      }
      last = stopping_;
      text.swap(buffer_);
      writing_ = true;
      if (unreported_drops_ > 0) {
        absl::StrAppend(&text, "{\"code\":", static_cast<int>(EventCode::kLogLinesDropped),
                        ",\"name\":\"log_lines_dropped\",\"lines\":", unreported_drops_, "}\n");
        unreported_drops_ = 0;
      }
    }
    if (!Write(text)) {
      dropped_ += 1;
    }
    {
      absl::MutexLock lock(&mutex_);
      writing_ = false;
      changed_.SignalAll();
    }
    if (last) {
      return;
    }
  }
}

bool StreamLog::Write(const std::string& text) {
  size_t written = 0;
  while (written < text.size()) {
    pollfd entry{fd_, POLLOUT, 0};
    if (poll(&entry, 1, kWriteTimeoutMs) <= 0) {
      return false;
    }
    const ssize_t count = write(fd_, text.data() + written, text.size() - written);
    if (count < 0 && errno != EINTR && errno != EAGAIN) {
      return false;
    }
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
  return true;
}

}  // namespace pomelotray
