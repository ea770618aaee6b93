#include "base/error.h"

#include <stdexcept>
#include <string>

#include "boost/test/unit_test.hpp"

namespace pomelotray {
namespace {

Result<int> FailingCall() { return Fail(ErrorKind::kNotFound, "Job x does not exist."); }

Result<std::string> CallThatPropagates() {
  BOOST_LEAF_AUTO(value, FailingCall());
  return std::to_string(value);
}

BOOST_AUTO_TEST_SUITE(ErrorTest)

// Guards against an error that loses its kind or message on its way through several calls.
BOOST_AUTO_TEST_CASE(CaptureKeepsPropagatedError) {
  const Outcome<std::string> outcome = Capture([] { return CallThatPropagates(); });
  BOOST_TEST(!outcome.ok());
  BOOST_TEST((outcome.error().kind == ErrorKind::kNotFound));
  BOOST_TEST(outcome.error().message == "Job x does not exist.");
}

// Guards against one unexpected exception that ends the whole process.
BOOST_AUTO_TEST_CASE(CaptureTurnsAnExceptionIntoAnError) {
  const Outcome<int> outcome =
      Capture([]() -> Result<int> { throw std::out_of_range("index 7 of 3"); });
  BOOST_REQUIRE(!outcome.ok());
  BOOST_TEST((outcome.error().kind == ErrorKind::kInternal));
  BOOST_TEST(outcome.error().message.find("index 7 of 3") != std::string::npos);
}

// Guards against a kind that cannot be read back from the API.
BOOST_AUTO_TEST_CASE(EveryKindHasAName) {
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    const ErrorKind expected = static_cast<ErrorKind>(kind);
    BOOST_TEST((ParseErrorKind(ErrorKindName(expected)) == expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
