#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "base/event_log.h"
#include "base/manual_clock.h"
#include "platform/store_client.h"
#include "platform/worker_directory.h"
#include "tests/platform/hostile_texts.h"
#include "tests/platform/scripted_server.h"

namespace pomelotray::platform {
namespace {

using nlohmann::json;

// Returns a worker's entry in which the JSON text `value` replaces that of `field`. An empty field
// changes nothing.
std::string WorkerEntry(const std::string& field = "", const std::string& value = "") {
  std::vector<std::pair<std::string, std::string>> fields = {
      {"service", "\"s1\""}, {"address", "\"10.0.0.9:80\""},
      {"zone", "\"a\""},     {"state", "\"ready\""},
      {"labels", "[]"},      {"capacity", R"({"cpu":8800.5,"mem-mb":1024})"}};
  bool replaced = field.empty();
  std::string text;
  for (const auto& [name, original] : fields) {
    replaced = replaced || name == field;
    absl::StrAppend(&text, text.empty() ? "" : ",", "\"", name,
                    "\":", name == field ? value : original);
  }
  return absl::StrCat("{", text, replaced ? "" : absl::StrCat(",\"", field, "\":", value), "}");
}

bool IsWorker(const std::string& id, const std::string& text) {
  return Capture([&] { return DecodeWorker(id, text); }).ok();
}

// Lists the workers in a store whose directory has `values`, in the order of their keys, `reads`
// times.
class DirectoryReader {
 public:
  explicit DirectoryReader(const std::vector<std::string>& values, int reads) {
    json items = json::array();
    for (const std::string& value : values) {
      items.push_back({{"key", absl::StrCat("servers/w", items.size())},
                       {"value", absl::Base64Escape(value)},
                       {"revision", 5}});
    }
    const std::string page = json({{"as-of", 5}, {"items", std::move(items)}}).dump();
    ScriptedServer server(ServeInTurn(std::vector<std::string>(reads, page)));
    StoreClient store(server.address(), &events_, kPatientTimeout);
    StoreWorkerDirectory directory(&store, &events_);
    for (int i = 0; i < reads; ++i) {
      workers_ = Capture([&] { return directory.List(); });
    }
  }

  // Returns the ids of the workers of the last read.
  std::set<std::string> Ids() const {
    BOOST_REQUIRE_MESSAGE(workers_.ok(), (workers_.ok() ? "" : workers_.error().message));
    std::set<std::string> ids;
    for (const WorkerDescription& worker : workers_.value()) {
      ids.insert(worker.id.value());
    }
    return ids;
  }
  // Returns the keys in all log lines.
  std::vector<std::string> LoggedKeys() const {
    std::vector<std::string> keys;
    for (const Event& event : events_.Select({})) {
      BOOST_TEST((event.code == EventCode::kUnreadableEntry));
      BOOST_TEST(event.fields.at("reason").size() < 1000U);
      keys.push_back(event.fields.at("key"));
    }
    return keys;
  }

 private:
  ManualClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"test", &hybrid_clock_};
  Outcome<std::vector<WorkerDescription>> workers_ = std::vector<WorkerDescription>();
};

BOOST_AUTO_TEST_SUITE(HostileEntriesTest)

// Guards against a single nested entry that ends the process or hides the other workers, and
// against a log line for each read.
BOOST_AUTO_TEST_CASE(NestedWorkerEntriesAreSkippedAndLoggedOnce) {
  const DirectoryReader reader(
      {WorkerEntry(), NestedArrays(true), NestedArrays(false),
       WorkerEntry("unused", NestedArrays(true)), WorkerEntry("labels", NestedArrays(true)),
       WorkerEntry("capacity", NestedArrays(true)), WorkerEntry()},
      2);
  BOOST_TEST(reader.Ids() == (std::set<std::string>{"w0", "w6"}), boost::test_tools::per_element());
  BOOST_TEST(
      reader.LoggedKeys() == (std::vector<std::string>{"servers/w1", "servers/w2", "servers/w3",
                                                       "servers/w4", "servers/w5"}),
      boost::test_tools::per_element());
}

// Guards against odd entries, such as empty ones, that hide the other workers.
BOOST_AUTO_TEST_CASE(OddWorkerEntriesAreSkippedAndLoggedOnce) {
  const DirectoryReader reader(
      {"", WorkerEntry(), "\xff\xfe", "null", "[]", "\"\"", std::string(100'000, '1'),
       absl::StrCat("{\"address\":\"", std::string(100'000, 'x'), "\xff")},
      3);
  BOOST_TEST(reader.Ids() == (std::set<std::string>{"w1"}), boost::test_tools::per_element());
  BOOST_TEST(reader.LoggedKeys().size() == 7U);
}

// Guards against capacities and times whose conversion is undefined, which differs between
// processors, or whose sum over a pool overflows.
BOOST_AUTO_TEST_CASE(WorkerNumbersOutOfRangeAreRejected) {
  for (const std::string& number : HostileNumbers()) {
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(!IsWorker(
          "w", WorkerEntry("capacity", absl::StrCat("{\"cpu\":", number, ",\"mem-mb\":1}"))));
      BOOST_TEST(!IsWorker(
          "w", WorkerEntry("capacity", absl::StrCat("{\"cpu\":1,\"mem-mb\":", number, "}"))));
      BOOST_TEST(!IsWorker("w", WorkerEntry("capacity", absl::StrCat("{\"cpu\":1,\"mem-mb\":1,",
                                                                     "\"gpu\":", number, "}"))));
      BOOST_TEST(!IsWorker("w", WorkerEntry("born", number)));
    }
  }
}

// Guards against limits that reject workers with unusual values.
BOOST_AUTO_TEST_CASE(UnusualWorkersAreAccepted) {
  const Outcome<WorkerDescription> worker =
      Capture([] { return DecodeWorker("w", WorkerEntry("unused", "[[[{}]]]")); });
  BOOST_REQUIRE(worker.ok());
  BOOST_TEST(worker.value().capacity.cpu.value() == 8800);
  BOOST_TEST(IsWorker("w", WorkerEntry("capacity", R"({"cpu":0,"mem-mb":0})")));
  BOOST_TEST(IsWorker("w", WorkerEntry("capacity", R"({"cpu":100000000,"mem-mb":100000000})")));
  BOOST_TEST(IsWorker("w\xc3\xb6rker 1/2", WorkerEntry("address", "\"[::1]:65535\"")));
}

// Guards against workers without a valid address, which cannot be called.
BOOST_AUTO_TEST_CASE(WorkerAddressesOutOfRangeAreRejected) {
  for (const char* address : {"10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:0", "10.0.0.9:00",
                              "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9", "", ":80", "host:80",
                              "10.0.0.9:18446744073709551696", "10.0.0.9:80\\u0000"}) {
    BOOST_TEST_CONTEXT(address) {
      BOOST_TEST(!IsWorker("w", WorkerEntry("address", absl::StrCat("\"", address, "\""))));
    }
  }
}

// Guards against keys that add lines to the requests to a worker, since its id is sent in a header.
BOOST_AUTO_TEST_CASE(WorkersWithOddIdsAreRejected) {
  BOOST_TEST(!IsWorker("", WorkerEntry()));
  BOOST_TEST(!IsWorker("w\r\nX-Other: 1", WorkerEntry()));
  BOOST_TEST(!IsWorker(std::string("w\0", 2), WorkerEntry()));
  BOOST_TEST(!IsWorker(std::string(1'000'000, 'w'), WorkerEntry()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray::platform
