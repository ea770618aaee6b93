#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "platform/configuration_codec.h"
#include "tests/platform/hostile_texts.h"

namespace pomelotray::platform {
namespace {

BOOST_AUTO_TEST_SUITE(HostileJobsTest)

// Guards against jobs whose numbers overflow later, or are taken for others after a conversion.
// The caller must be told at once.
BOOST_AUTO_TEST_CASE(HostileJobsAreRejected) {
  std::vector<std::string> texts = {
      NestedArrays(true),
      NestedArrays(false),
      absl::StrCat(R"({"steps":[{"count":1}],"unused":)", NestedArrays(true), "}"),
      absl::StrCat(R"({"spec":")", "\xff", R"(","steps":[{"count":1}]})"),
      R"({"steps":{"a":{"count":1}}})",
      R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})",
      R"({"steps":[{"count":1}],"repeat-count":1,"start-time-ms":1e18})"};
  std::string steps;
  for (int i = 0; i < 64; ++i) {
    absl::StrAppend(&steps, i == 0 ? "" : ",", R"({"count":1000000000})");
  }
  texts.push_back(absl::StrCat(R"({"steps":[)", steps, R"(],"repeat-count":200000000})"));
  for (const std::string& number : HostileNumbers()) {
    for (const char* field : {"count", "cpu", "mem-mb", "gpu", "estimate-ms", "anti-affinity",
                              "may-miss", "target-ms"}) {
      texts.push_back(absl::StrCat(R"({"steps":[{"count":1,")", field, "\":", number, "}]}"));
    }
    texts.push_back(absl::StrCat(R"({"steps":[{"count":1},{"count":1,"after":[)", number, "]}]}"));

    for (const char* field : {"repeat-count", "start-time-ms", "interval-ms"}) {
      texts.push_back(absl::StrCat(R"({"steps":[{"count":1}],")", field, "\":", number, "}"));
    }
  }
  for (const std::string& text : texts) {
    const Outcome<void> accepted = Capture([&]() -> Result<void> {
      BOOST_LEAF_AUTO(spec, DecodeWorkflow(text));
      return ValidateWorkflow(spec, WorkflowLimits());
    });
    BOOST_TEST_CONTEXT(text.substr(0, 200)) {
      BOOST_TEST(!accepted.ok());
      BOOST_TEST((accepted.ok() || accepted.error().kind == ErrorKind::kInvalidArgument));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
