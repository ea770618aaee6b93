#include "base/json_number.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

#include "base/decode_json.h"

namespace pomelotray {
namespace {

// Returns whether the JSON text is a number between 0 and 1000 for IntegerFromJson(), and the
// number.
Outcome<int64_t> Decode(const std::string& text) {
  return Capture([&] {
    return DecodeJson(text, DecodeSubject{ErrorKind::kInvalidArgument, "number", "correct it"},
                      [](const nlohmann::json& value) { return IntegerFromJson(value, 0, 1000); });
  });
}

std::string Nested(int depth) { return std::string(depth, '[') + std::string(depth, ']'); }

BOOST_AUTO_TEST_SUITE(JsonNumberTest)

// Guards against numbers that parse, but whose conversion is undefined or whose sums overflow.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreErrors) {
  for (const std::string text :
       {"-1", "-0.5", "1001", "1000.5", "9223372036854775807", "9223372036854775808",
        "18446744073709551615", "-9223372036854775808", "1e300", "-1e300", "1e400", "true", "null",
        "\"7\"", "[7]", "{}"}) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(!Decode(text).ok()); }
  }
}

// Guards against unsigned numbers that count as negative ones, and against fractions.
BOOST_AUTO_TEST_CASE(IntegersBetweenLimitsAreRecognized) {
  const auto is_between = [](const char* text, int64_t min, int64_t max) {
    return IsIntegerBetween(nlohmann::json::parse(text), min, max);
  };
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  BOOST_TEST(is_between("9223372036854775807", 0, kMax));
  BOOST_TEST(!is_between("9223372036854775808", -1, kMax));
  BOOST_TEST(!is_between("18446744073709551615", -1, kMax));
  BOOST_TEST(is_between("-1", -1, 1));
  BOOST_TEST(!is_between("-2", -1, 1));
  BOOST_TEST(!is_between("3", -2, -1));
  BOOST_TEST(!is_between("4", 5, 6));
  BOOST_TEST(is_between("5", 5, 6));
  BOOST_TEST(!is_between("5.0", 5, 6));
  BOOST_TEST(!is_between("\"5\"", 5, 6));
}

BOOST_AUTO_TEST_CASE(NumbersInRangeAreTruncated) {
  BOOST_TEST(Decode("0").value() == 0);
  BOOST_TEST(Decode("1000").value() == 1000);
  BOOST_TEST(Decode("7.9").value() == 7);
  BOOST_TEST(Decode("1e3").value() == 1000);
  BOOST_TEST(IntegerFromJson(nlohmann::json(-5), -10, 10) == -5);
}

// Guards against a stack overflow when a deeply nested value is copied or printed.
BOOST_AUTO_TEST_CASE(DeeplyNestedTextsAreErrors) {
  const auto decode = [](const std::string& text) {
    return Capture([&] {
      return DecodeJson(text, DecodeSubject{ErrorKind::kInternal, "text", "correct it"},
                        [](const nlohmann::json& value) { return nlohmann::json(value).dump(); });
    });
  };
  BOOST_TEST(decode(Nested(kMaxJsonDepth)).ok());
  BOOST_TEST(!decode(Nested(kMaxJsonDepth + 1)).ok());
  BOOST_TEST(!decode(Nested(3'000'000)).ok());
  BOOST_TEST(!decode(std::string(3'000'000, '[')).ok());
  // Brackets inside strings do not nest.
  BOOST_TEST(decode("\"" + std::string(100, '[') + "\\\"[[\"").ok());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
