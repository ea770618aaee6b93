#include "base/stream_log.h"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "base/hybrid_clock.h"
#include "base/manual_clock.h"

namespace pomelotray {
namespace {

// A log that writes into a pipe.
struct LogFixture {
  LogFixture() { BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0); }
  ~LogFixture() {
    close(ends[0]);
    close(ends[1]);
  }

  std::string Read() const {
    std::array<char, 65536> buffer = {};
    const ssize_t count = read(ends[0], buffer.data(), buffer.size());
    return std::string(buffer.data(), count > 0 ? static_cast<size_t>(count) : 0);
  }

  static size_t Count(const std::string& text, const std::string& word) {
    size_t count = 0;
    for (size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
      ++count;
    }
    return count;
  }

  std::array<int, 2> ends = {};
  ManualClock clock;
  HybridClock hybrid_clock{&clock};
};

BOOST_FIXTURE_TEST_SUITE(StreamLogTest, LogFixture)

// Guards against a log that grows with the load: informational lines over the rate are dropped and
// counted, notices and warnings are kept, and the next second has its own lines.
BOOST_AUTO_TEST_CASE(InformationalLinesAreLimited) {
  StreamLog::Limits limits;
  limits.max_lines_per_second = 3;
  StreamLog log(ends[1], &clock, limits);
  EventLog events("test", &hybrid_clock, log.sink(), /*capacity=*/0);
  for (int i = 0; i < 5; ++i) {
    events.Record(EventCode::kTaskEnded).Emit();
  }
  events.Record(EventCode::kWorkerUnreachable).Emit();
  events.Record(EventCode::kPoolState).Emit();
  clock.Advance(absl::Seconds(1));
  events.Record(EventCode::kTaskEnded).Emit();
  log.Flush();
  const std::string text = Read();
  BOOST_TEST(Count(text, "task_ended") == 4U);
  BOOST_TEST(Count(text, "worker_unreachable") == 1U);
  BOOST_TEST(Count(text, "pool_state") == 1U);
  BOOST_TEST(Count(text, "\"lines\":2") == 1U);
  BOOST_TEST(log.dropped_lines() == 2);
}

// Guards against memory that grows while the reader is slow.
BOOST_AUTO_TEST_CASE(BufferedBytesAreLimited) {
  StreamLog::Limits limits;
  limits.max_buffered_bytes = 300;
  StreamLog log(ends[1], &clock, limits);
  EventLog events("test", &hybrid_clock, log.sink(), /*capacity=*/0);
  for (int i = 0; i < 50; ++i) {
    events.Record(EventCode::kTaskEnded).With("reason", std::string(50, 'x')).Emit();
  }
  BOOST_TEST(log.dropped_lines() >= 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
