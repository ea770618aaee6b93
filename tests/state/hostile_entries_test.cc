#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/contract_codec.h"
#include "state/configuration_cache.h"
#include "state/instance_lease.h"
#include "state/journal_codec.h"
#include "state/journal_storage.h"
#include "state/packed_reader.h"
#include "state/shard_claims.h"
#include "state/slice_allocation.h"
#include "state/slice_manager.h"
#include "tests/model/model_generators.h"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

constexpr int kDeep = 3'000'000;
constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
constexpr int64_t kMin = std::numeric_limits<int64_t>::min();
const ShardId kShard{FailureDomainId("cuenca"), PoolName("rendering")};

std::string Nested(int depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Values that another writer might leave under a key whose values are JSON objects.
std::vector<std::string> HostileObjects() {
  return {"",
          "{}",
          "[]",
          "null",
          "7",
          "\xff\xfe",
          "{\"owner\":\"\xff\"}",
          std::string(kDeep, '['),
          Nested(kDeep),
          "{\"unused\":" + Nested(kDeep) + "}",
          "{\"unused\":" + std::string(kDeep, '['),
          "{\"" + std::string(1'000'000, 'k') + "\":1}",
          R"({"owner":7,"address":[],"term":"1","revision":{},"cap":0,"slices":[]})"};
}

int64_t CountRefused(const StateFixture& fixture) {
  int64_t count = 0;
  for (const Event& event : fixture.events.Select({})) {
    count += event.code == EventCode::kInvalidInputRefused ? 1 : 0;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(HostileEntriesTest)

// Guards against a stack overflow: the parser of MessagePack recurses for each level.
BOOST_AUTO_TEST_CASE(JournalValuesThatNestDeeplyAreErrors) {
  const std::string batch =
      EncodeBatch(JournalBatch{1, InstanceId("a"), 1, 5, {std::string("record")}});
  const std::vector<std::string> values = {
      std::string(kDeep, '\x91') + "\xc0", std::string(kDeep, '\x91'),
      // Maps with an empty key, and a valid batch with a further element.
      std::string(kDeep, '\x81'), "\x97" + batch.substr(1) + std::string(kDeep, '\x91') + "\xc0"};
  for (const std::string& value : values) {
    BOOST_TEST(!Capture([&] { return DecodeBatch(value); }).ok());
    BOOST_TEST(!Capture([&] { return DecodeManifest(value); }).ok());
    BOOST_TEST(!Capture([&] { return DecodePart(value); }).ok());
    BOOST_TEST(!Capture([&] { return DecodeRecord(kShard, value); }).ok());
  }
  BOOST_TEST(Capture([&] { return DecodeBatch(batch); }).ok());
}

// Guards against an instance whose odd record hides live instances: whoever is missing loses its
// shards, so each key counts as a live instance whatever its value is.
BOOST_AUTO_TEST_CASE(HostileInstanceRecordHidesNoInstance) {
  for (const std::string& value : HostileObjects()) {
    StateFixture fixture;
    InstanceLease lease(fixture.Context(), InstanceRecord{});
    fixture.store.Put("instances/a", R"({"domain":"cuenca","incarnation":3})");
    fixture.store.Put("instances/b", value);
    const Outcome<std::vector<InstanceRecord>> records =
        Capture([&] { return lease.LiveRecords(); });
    BOOST_TEST_REQUIRE(records.ok());
    BOOST_TEST(records.value().size() == 2U);
    BOOST_TEST(records.value()[0].incarnation == 3);
  }
}

// Guards against a hostile contract that hides other contracts, ends the process or is logged on
// each read.
BOOST_AUTO_TEST_CASE(HostileContractIsSkippedAndLoggedOnce) {
  std::vector<std::string> values = HostileObjects();
  for (const char* number : {"9223372036854775807", "18446744073709551615", "1e300", "-1", "1.5"}) {
    nlohmann::json json = ContractToJson(ExampleContract());
    json["customer"] = "hostile";
    json["max_jobs"] = nlohmann::json::parse(number);
    values.push_back(json.dump());
  }
  for (const std::string& value : values) {
    BOOST_TEST_CONTEXT(value.substr(0, 80)) {
      StateFixture fixture;
      ConfigurationCache cache(
          fixture.Context(), [] { return true; }, nullptr);
      fixture.store.Put("contracts/hostile", value);
      fixture.store.Put("contracts/" + ExampleContract().customer.value(),
                        ContractToJson(ExampleContract()).dump());
      for (int read = 0; read < 3; ++read) {
        BOOST_TEST(Capture([&] { return cache.Load(); }).ok());
      }
      BOOST_TEST(cache.All().size() == 1U);
      BOOST_TEST(CountRefused(fixture) == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
