#include "base/log_sink.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <string>

#include "base/manual_clock.h"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(LogSinkTest)

// Guards against a process that ends when it logs a name that is not UTF-8. The binary messages
// between instances and the journal can carry such names.
BOOST_AUTO_TEST_CASE(TextThatIsNotUtf8IsReplaced) {
  const std::string path = "log_sink_test." + std::to_string(getpid()) + ".log";
  ManualClock clock;
  HybridClock hybrid(&clock);
  EventLog events("test", &hybrid, MakeLogSink(path));
  BOOST_CHECK_NO_THROW(events.Record(EventCode::kPeerLive).Peer(InstanceId("a\xff")).Emit());
  std::ifstream file(path);
  std::string line;
  BOOST_TEST(static_cast<bool>(std::getline(file, line)));
  BOOST_TEST(line.find("a\xef\xbf\xbd") != std::string::npos);
  (void)std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
