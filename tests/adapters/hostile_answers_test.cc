#include <limits>
#include <string>
#include <vector>

#include "adapters/http_executor.h"
#include "adapters/http_vm_list.h"
#include "adapters/store_codec.h"
#include "adapters/worker_codec.h"
#include "boost/test/unit_test.hpp"
#include "tests/adapters/standin_fixture.h"

namespace pomelotray {
namespace {

BOOST_AUTO_TEST_SUITE(HostileAnswersTest)

// Guards against a call to another port than the one that an address names.
BOOST_AUTO_TEST_CASE(CallsToInvalidPortsAreNotSent) {
  HttpChannel channel{HttpOptions{}};
  for (const char* address :
       {"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:80x", "127.0.0.1", "", ":1"}) {
    HttpCall call;
    call.path = "/x";
    call.timeout = absl::Seconds(2);
    call.no_effect = ErrorKind::kNotReady;
    const Outcome<nlohmann::json> answer = Capture([&] { return channel.Call(address, call); });
    BOOST_TEST_CONTEXT(address) {
      BOOST_TEST_REQUIRE(!answer.ok());
      BOOST_TEST((answer.error().kind == ErrorKind::kNotReady));
      BOOST_TEST(answer.error().message.find("no valid port") != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
