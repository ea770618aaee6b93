#ifndef POMELOTRAY_REVIEW_WORLD_2_RECORD_H_
#define POMELOTRAY_REVIEW_WORLD_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// What was sent, answered and run, as lines with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path, std::ios::trunc), start_(std::chrono::steady_clock::now()) {}

  int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 start_)
        .count();
  }

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << NowMs() << " " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const std::chrono::steady_clock::time_point start_;
};

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_2_RECORD_H_
