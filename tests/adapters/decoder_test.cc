#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

#include "adapters/http_executor.h"
#include "adapters/http_vm_list.h"
#include "adapters/store_codec.h"
#include "adapters/worker_codec.h"
#include "boost/test/unit_test.hpp"
#include "tests/pick.h"

namespace pomelotray {
namespace {

// Runs all decoders on what a broken peer might send.
void DecodeAll(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  (void)DecodeStoreGet(json);
  (void)DecodeStoreList(json);
  (void)DecodeStoreWatch(json);
  (void)DecodeStoreRevision(json);
  (void)DecodeInventory(json);
  (void)DecodeExecutorAnswer(json);
  (void)DecodeExecutorLoad(json);
  (void)DecodeVmList(json);
}

// Whole answers of each interface, to be mutated.
std::vector<std::string> ValidAnswers() {
  WorkerInventory inventory;
  inventory.worker = WorkerId("w1");
  inventory.boot = BootId("b1");
  AttemptReport report;
  report.attempt = AttemptId("a1");
  report.result = "done";
  inventory.attempts = {report, report};
  return {
      EncodeInventory(inventory).dump(),
      R"({"entry":{"key":"k","value":"aGk=","revision":3}})",
      R"({"entries":[{"key":"k","value":"aGk=","revision":3}]})",
      R"({"changed":[{"key":"k","value":"aGk=","revision":3}],"deleted":["x"],"next":9})",
      R"({"request":"r","attempt":"a","body":"aGk=","service_ms":3})",
      R"({"boot":"b","leaving":false,"busy_slots":3})",
      R"({"vms":[{"id":"w","role":"worker","address":"127.0.0.1:1","region":"r","domain":"d"}]})"};
}

// A value of any type, nested at most `depth` deep.
nlohmann::json ArbitraryJson(int depth) {
  switch (Pick(0, depth > 0 ? 8 : 6)) {
    case 0:
      return nullptr;
    case 1:
      return (Pick(0, 2) == 1);
    case 2:
      return *rc::gen::arbitrary<int64_t>();
    case 3:
      return *rc::gen::arbitrary<uint64_t>();
    case 4:
      return *rc::gen::arbitrary<double>();
    case 5:
      return *rc::gen::element<std::string>("", "aGk=", "running", "\x01", "worker");
    case 6: {
      nlohmann::json array = nlohmann::json::array();
      for (int i = Pick(0, 4); i > 0; --i) {
        array.push_back(ArbitraryJson(depth - 1));
      }
      return array;
    }
    default: {
      nlohmann::json object = nlohmann::json::object();
      for (int i = Pick(0, 6); i > 0; --i) {
        object[*rc::gen::element<std::string>("entry", "entries", "key", "value", "revision",
                                              "changed", "deleted", "next", "attempts", "epoch",
                                              "capacity", "vms", "worker", "boot", "term")] =
            ArbitraryJson(depth - 1);
      }
      return object;
    }
  }
}

BOOST_AUTO_TEST_SUITE(DecoderTest)

// Guards against valid answers that the mutations below start from and no decoder accepts.
BOOST_AUTO_TEST_CASE(ValidAnswersAreDecoded) {
  const std::vector<std::string> answers = ValidAnswers();
  BOOST_TEST(DecodeInventory(nlohmann::json::parse(answers[0])).has_value());
  BOOST_TEST(DecodeStoreGet(nlohmann::json::parse(answers[1])).has_value());
  BOOST_TEST(DecodeStoreList(nlohmann::json::parse(answers[2])).has_value());
  BOOST_TEST(DecodeStoreWatch(nlohmann::json::parse(answers[3])).has_value());
  BOOST_TEST(DecodeExecutorAnswer(nlohmann::json::parse(answers[4])).has_value());
  BOOST_TEST(DecodeExecutorLoad(nlohmann::json::parse(answers[5])).has_value());
  BOOST_TEST(DecodeVmList(nlohmann::json::parse(answers[6])).value().size() == 1U);
}

// Guards against answers that crash a decoder: bytes replaced, removed or inserted.
BOOST_AUTO_TEST_CASE(MutatedAnswersDoNotCrash) {
  const std::vector<std::string> answers = ValidAnswers();
  BOOST_TEST(rc::check([&answers] {
    std::string text = *rc::gen::elementOf(answers);
    const int mutations = Pick(1, 5);
    for (int i = 0; i < mutations && !text.empty(); ++i) {
      const size_t at = Pick<size_t>(0, text.size());
      const char byte = *rc::gen::arbitrary<char>();
      switch (Pick(0, 4)) {
        case 0:
          text[at] = byte;
          break;
        case 1:
          text.erase(at, 1);
          break;
        case 2:
          text.insert(at, 1, byte);
          break;
        default:
          text.resize(at);
          break;
      }
    }
    DecodeAll(text);
  }));
}

// Guards against well-formed JSON of the wrong shape that crashes a decoder.
BOOST_AUTO_TEST_CASE(ArbitraryJsonDoesNotCrash) {
  BOOST_TEST(rc::check([] { DecodeAll(ArbitraryJson(4).dump()); }));
}

// Guards against deep nesting that exhausts the stack, and numbers out of range.
BOOST_AUTO_TEST_CASE(ExtremeAnswersAreRefused) {
  DecodeAll(std::string(100'000, '['));
  const nlohmann::json huge = nlohmann::json::parse(R"({"revision":18446744073709551615})");
  BOOST_TEST(!DecodeStoreRevision(huge).has_value());
  const nlohmann::json fraction = nlohmann::json::parse(R"({"revision":1.5})");
  BOOST_TEST(!DecodeStoreRevision(fraction).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
