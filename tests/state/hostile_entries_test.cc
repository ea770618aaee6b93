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

std::vector<ShardClaim> ListClaims(ShardClaims* claims) {
  const Outcome<std::vector<ShardClaim>> listed =
      Capture([&] { return claims->List(kShard.domain); });
  BOOST_TEST_REQUIRE(listed.ok());
  return listed.value();
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

// Guards against numbers that become negative when they are converted, select a slot outside of
// the ring or overflow when the next number is computed.
BOOST_AUTO_TEST_CASE(BatchesAndManifestsWithNumbersOutOfRangeAreErrors) {
  const std::vector<nlohmann::json> numbers = {
      -1, kMin, kMax, std::numeric_limits<uint64_t>::max(), 1e300, 1.5, "7", nullptr};
  for (const nlohmann::json& number : numbers) {
    BOOST_TEST_CONTEXT(number) {
      const nlohmann::json none = nlohmann::json::array();
      for (const nlohmann::json& batch :
           {nlohmann::json{1, number, "a", 1, 5, none}, nlohmann::json{1, 1, "a", number, 5, none},
            nlohmann::json{number, 1, "a", 1, 5, none}}) {
        BOOST_TEST(!Capture([&] { return DecodeBatch(ToPackedBytes(batch)); }).ok());
      }
      for (size_t field = 0; field < 6; ++field) {
        // Version, term, owner, covered batches, generation and parts; nonces may have any value.
        nlohmann::json manifest = {1, 1, "a", 64, 0, 2, 5, 6};
        BOOST_TEST_REQUIRE(Capture([&] { return DecodeManifest(ToPackedBytes(manifest)); }).ok());
        if (field != 2) {
          manifest[field] = number;
          BOOST_TEST(!Capture([&] { return DecodeManifest(ToPackedBytes(manifest)); }).ok());
        }
      }
    }
  }
}

// Guards against jobs in the journal whose demand, task count or times overflow in the scheduler.
BOOST_AUTO_TEST_CASE(RecordsWithNumbersOutOfRangeAreErrors) {
  const std::vector<std::pair<const char*, std::function<void(JobRecord*)>>> changes = {
      {"task count", [](JobRecord* job) { job->spec.task_count = kMax; }},
      {"negative task count", [](JobRecord* job) { job->spec.task_count = -1; }},
      {"cpu", [](JobRecord* job) { job->spec.demand.cpu = MilliCores(kMax); }},
      {"negative cpu", [](JobRecord* job) { job->spec.demand.cpu = MilliCores(-1); }},
      {"memory", [](JobRecord* job) { job->spec.demand.memory = MebiBytes(kMax); }},
      {"accelerators",
       [](JobRecord* job) { job->spec.demand.accelerators = AcceleratorCount(kMin); }},
      {"slots", [](JobRecord* job) { job->spec.demand.slots = SlotCount(kMax); }},
      {"run time", [](JobRecord* job) { job->spec.expected_run = absl::InfiniteDuration(); }},
      {"negative run time", [](JobRecord* job) { job->spec.expected_run = -absl::Seconds(1); }},
      {"deadline", [](JobRecord* job) { job->spec.deadline = absl::InfiniteFuture(); }},
      {"accepted", [](JobRecord* job) { job->accepted_at = absl::FromUnixSeconds(kMax); }},
      {"attempts", [](JobRecord* job) { job->tasks[0].attempt_number = kMax; }},
      {"negative attempts", [](JobRecord* job) { job->tasks[0].attempt_number = -1; }}};
  JobRecord valid;
  valid.id = MakeJobId(kShard, CustomerId("c"), IdempotencyKey("k"));
  valid.spec.task_count = kMaxTasksPerJob;
  valid.spec.demand = Resources{MilliCores(1'000'000), MebiBytes(1), {}, {}};
  valid.accepted_at = absl::FromUnixSeconds(1'800'000'000);
  valid.tasks.resize(1);
  valid.tasks[0].task = MakeTaskId(valid.id, 0);
  const auto decodes = [](const JobRecord& job) {
    return Capture([&] { return DecodeRecord(kShard, EncodeRecord(kShard, JobUpsert{job})); }).ok();
  };
  BOOST_TEST(decodes(valid));
  for (const auto& [name, change] : changes) {
    JobRecord job = valid;
    change(&job);
    BOOST_TEST_CONTEXT(name) { BOOST_TEST(!decodes(job)); }
  }
}

// Guards against a process that ends, or an array that is read out of bounds, because of the
// journal of one shard. Work must not be lost, so the journal is not used with a value left out.
BOOST_AUTO_TEST_CASE(JournalWithHostileValueIsNotRecovered) {
  for (const char* key : {"journal/cuenca/rendering/03", "journal/cuenca/rendering/snapshot"}) {
    for (const std::string& value :
         {std::string(), std::string(kDeep, '\x91') + "\xc0", std::string("\xc1"),
          ToPackedBytes({1, 1, "a", -3, 5, nlohmann::json::array()}),
          ToPackedBytes({1, 1, "a", -3, 0, 0, 5, 6}),
          ToPackedBytes({1, 1, "a", kMax, 0, 0, 5, 6})}) {
      StateFixture fixture;
      fixture.store.Put(key, value);
      JournalStorage storage(fixture.Context(), kShard, InstanceId("a"), 1);
      BOOST_TEST(!Capture([&] { return storage.Recover(); }).ok());
    }
  }
}

// Guards against a hostile claim that hides other claims, ends the process, or is logged on each
// read, and against a term that is negative or overflows when the shard is claimed.
BOOST_AUTO_TEST_CASE(HostileClaimIsSkippedAndLoggedOnce) {
  std::vector<std::string> values = HostileObjects();
  for (const char* term : {"9223372036854775807", "9223372036854775808", "18446744073709551615",
                           "1e300", "-1", "1.5", "\"1\""}) {
    values.push_back(std::string(R"({"owner":"x","address":"127.0.0.1:1","term":)") + term + "}");
  }
  for (const std::string& value : values) {
    BOOST_TEST_CONTEXT(value.substr(0, 80)) {
      StateFixture fixture;
      ShardClaims claims(fixture.Context(), InstanceId("a"), "127.0.0.1:1");
      BOOST_TEST_REQUIRE(Capture([&] { return claims.TryClaim(kShard); }).ok());
      const ShardId hostile{kShard.domain, PoolName("hostile")};
      fixture.store.Put("shards/cuenca/hostile", value);
      for (int read = 0; read < 3; ++read) {
        const std::vector<ShardClaim> listed = ListClaims(&claims);
        BOOST_TEST(listed.size() == 1U);
        BOOST_TEST(listed[0].shard == kShard);
      }
      BOOST_TEST(CountRefused(fixture) == 1);
      BOOST_TEST(!Capture([&] { return claims.TryClaim(hostile); }).ok());
      BOOST_TEST(fixture.store.Peek("shards/cuenca/hostile")->value == value);
      // A corrected value that is damaged again is a new fault.
      fixture.store.Put("shards/cuenca/hostile", R"({"owner":"x","address":"","term":4})");
      BOOST_TEST(ListClaims(&claims).size() == 2U);
      fixture.store.Put("shards/cuenca/hostile", value);
      ListClaims(&claims);
      BOOST_TEST(CountRefused(fixture) == 2);
    }
  }
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

// Guards against one hostile entry in a peer's answer that keeps an instance from all contracts in
// it, and against a revision that is negative after conversion.
BOOST_AUTO_TEST_CASE(HostileEntryOfPeerIsSkippedAndLoggedOnce) {
  const std::string value = ContractToJson(ExampleContract()).dump();
  const nlohmann::json valid = {{"customer", ExampleContract().customer.value()},
                                {"revision", 5},
                                {"deleted", false},
                                {"value", value}};
  std::vector<nlohmann::json> entries = {nullptr, 7, nlohmann::json::array(),
                                         nlohmann::json::object()};
  for (const nlohmann::json& revision :
       {nlohmann::json(kMax), nlohmann::json(std::numeric_limits<uint64_t>::max()),
        nlohmann::json(-1), nlohmann::json(0), nlohmann::json(1e300), nlohmann::json("5")}) {
    entries.push_back(valid);
    entries.back()["customer"] = "hostile";
    entries.back()["revision"] = revision;
  }
  for (const nlohmann::json& entry : entries) {
    BOOST_TEST_CONTEXT(entry) {
      StateFixture fixture;
      ConfigurationCache cache(
          fixture.Context(), [] { return false; }, nullptr);
      const nlohmann::json answer = {{"after", 0},
                                     {"revision", 9},
                                     {"ready", true},
                                     {"entries", nlohmann::json::array({entry, valid})}};
      for (int read = 0; read < 3; ++read) {
        BOOST_TEST(Capture([&] { return cache.MergeEntries(answer); }).ok());
      }
      BOOST_TEST(cache.All().size() == 1U);
      BOOST_TEST(cache.Ready());
      // The entry is asked for again.
      BOOST_TEST((cache.revision() == Revision(0)));
      BOOST_TEST(CountRefused(fixture) == 1);
    }
  }
}

// Guards against slices whose sums overflow, and against terms and revisions out of range.
BOOST_AUTO_TEST_CASE(SlicesWithNumbersOutOfRangeAreErrors) {
  const nlohmann::json amounts = {1, 1, 1, 1, 1, 1, 1};
  const nlohmann::json valid = {
      {"revision", 3}, {"cap", amounts}, {"slices", {{"cuenca/rendering", {1, amounts, amounts}}}}};
  const auto decodes = [](const nlohmann::json& json) {
    return Capture([&] { return DecodeSliceAllocation(json.dump()); }).ok();
  };
  BOOST_TEST(decodes(valid));
  for (const nlohmann::json& number :
       {nlohmann::json(kMax), nlohmann::json(kMin), nlohmann::json(-1), nlohmann::json(1e300),
        nlohmann::json(std::numeric_limits<uint64_t>::max()), nlohmann::json("1")}) {
    for (const char* pointer : {"/revision", "/cap/0", "/cap/6", "/slices/cuenca~1rendering/0",
                                "/slices/cuenca~1rendering/1/0", "/slices/cuenca~1rendering/2/4"}) {
      nlohmann::json json = valid;
      json[nlohmann::json::json_pointer(pointer)] = number;
      BOOST_TEST_CONTEXT(pointer << " = " << number) { BOOST_TEST(!decodes(json)); }
    }
  }
  for (const std::string& value : HostileObjects()) {
    BOOST_TEST(!Capture([&] { return DecodeSliceAllocation(value); }).ok());
  }
}

// Guards against a hostile slice allocation that is logged several times per second, and that keeps
// other customers from their slices.
BOOST_AUTO_TEST_CASE(HostileSlicesAreSkippedAndLoggedOnce) {
  StateFixture fixture;
  Contract contract = ExampleContract();
  contract.revision = Revision(1);
  Contract hostile = contract;
  hostile.customer = CustomerId("a-hostile");
  SliceManager manager(fixture.Context(), [&] { return std::vector<Contract>{hostile, contract}; });
  const ShardId shard{contract.home_domains.front(), *contract.pools.begin()};
  manager.SetOwnedShards({{shard, 1}});
  fixture.store.Put("slices/a-hostile", "{\"cap\":" + Nested(kDeep) + "}");
  for (int round = 0; round < 5; ++round) {
    manager.NegotiateOnce(absl::ZeroDuration());
    fixture.clock.Advance(absl::Seconds(1));
  }
  BOOST_TEST(manager.Limit(contract.customer, shard).max_jobs > 0);
  BOOST_TEST(manager.Limit(hostile.customer, shard).max_jobs == 0);
  BOOST_TEST(CountRefused(fixture) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
