#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "platform/node_settings.h"

namespace pomelotray::platform {
namespace {

constexpr char kSettings[] =
    "node-name=front-a-1\nip=10.1.0.30\nzone=a\nlisten-addrs.front=10.1.0.30:8149\n"
    "listen-addrs.ready=10.1.0.30:8141\nport-range=7380,7395\nplatform.address=10.200.1.7:8142\n";

Outcome<NodeSettings> WithSetting(const std::string& name, const std::string& value) {
  return Capture(
      [&] { return ParseNodeSettings(absl::StrCat(kSettings, name, "=", value, "\n")); });
}

void CheckRejectedByName(const std::string& name, const std::string& value) {
  const Outcome<NodeSettings> settings = WithSetting(name, value);
  BOOST_TEST_CONTEXT(name << "=" << value) {
    BOOST_REQUIRE(!settings.ok());
    BOOST_TEST(settings.error().message.find(name) != std::string::npos);
    BOOST_TEST(settings.error().message.find(value) != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE(HostileSettingsTest)

// Guards against a process that starts with another value than the operator meant, or with a number
// whose conversion is undefined. The error must name the setting.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreNamed) {
  for (const char* name : {"bounds.max-hold-ms", "limits.cpu-share", "limits.cores",
                           "bounds.status_s", "bounds.grace-s"}) {
    for (const char* value : {"nan", "inf", "-inf", "1e300", "-1", "1e-300", "6s", "6,5"}) {
      CheckRejectedByName(name, value);
    }
  }
}

// Guards against a process that listens on another port than the operator meant.
BOOST_AUTO_TEST_CASE(PortsOutOfRangeAreNamed) {
  for (const char* name :
       {"listen-addrs.front", "listen-addrs.ready", "platform.address", "advice"}) {
    for (const char* value : {"10.1.0.30:70000", "10.1.0.30:-1", "10.1.0.30:0", "10.1.0.30:80x",
                              "10.1.0.30", "front:80"}) {
      CheckRejectedByName(name, value);
    }
  }
  for (const char* value : {"0,5", "-1,5", "65535,70000", "70000,70001", "7380", "7380,7380",
                            "7380x,7390", "4294974676,4294974690"}) {
    CheckRejectedByName("port-range", value);
  }
  CheckRejectedByName("ip", "front");
}

// Guards against limits that reject settings with unusual values. An empty value or 0 counts as
// missing.
BOOST_AUTO_TEST_CASE(UnusualSettingsAreAccepted) {
  BOOST_TEST(WithSetting("limits.cores", "0.25").value().cpu_milli == 250);
  BOOST_TEST(WithSetting("limits.cores", "").value().cpu_milli == 1000);
  BOOST_TEST(WithSetting("limits.cores", "0").value().cpu_milli == 1000);
  BOOST_TEST(WithSetting("limits.cores", "100000").ok());
  BOOST_TEST(WithSetting("advice", "").value().adviser_address.empty());
  BOOST_TEST(WithSetting("port-range", "65534,65535").ok());
  BOOST_TEST((WithSetting("bounds.grace-s", "0.5").value().stop_grace == absl::Milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
