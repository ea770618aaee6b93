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

constexpr int kDeep = 3'000'000;

std::string Nested(int depth) { return std::string(depth, '[') + std::string(depth, ']'); }

nlohmann::json Vm(const std::string& id) {
  return {
      {"id", id},
      {"role", "worker"},
      {"address", "127.0.0.1:1"},
      {"region", "sierra"},
      {"domain", "cuenca"},
      {"max_connections", 64},
      {"capacity", {{"cpu_milli", 64000}, {"memory_mib", 256}, {"accelerators", 8}, {"slots", 0}}}};
}

// Numbers that parse and that no field may have.
std::vector<nlohmann::json> BadNumbers() {
  return {std::numeric_limits<int64_t>::max(),
          std::numeric_limits<uint64_t>::max(),
          std::numeric_limits<int64_t>::min(),
          1e300,
          -1e300,
          -1,
          "7",
          nlohmann::json::array({7})};
}

nlohmann::json ListOf(const nlohmann::json& item) {
  return {{"vms", nlohmann::json::array({Vm("w1"), item, Vm("w3")})}};
}

BOOST_AUTO_TEST_SUITE(HostileAnswersTest)

// Guards against one hostile entry that hides the whole list of VMs.
BOOST_AUTO_TEST_CASE(HostileVmIsSkipped) {
  std::vector<nlohmann::json> entries = {nullptr, 7, "w2", nlohmann::json::array(),
                                         nlohmann::json::object()};
  const auto add = [&entries](const char* pointer, const nlohmann::json& value) {
    entries.push_back(Vm("w2"));
    entries.back()[nlohmann::json::json_pointer(pointer)] = value;
  };
  for (const nlohmann::json& number : BadNumbers()) {
    add("/max_connections", number);
    add("/capacity", number);
    for (const char* amount : {"cpu_milli", "memory_mib", "accelerators", "slots"}) {
      add((std::string("/capacity/") + amount).c_str(), number);
    }
  }
  for (const char* address :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0",
        "127.0.0.1:80x", "127.0.0.1:+80", ":80", "127.0.0.1:99999999999999999999"}) {
    add("/address", address);
  }
  for (const char* field : {"/id", "/role", "/address", "/region", "/domain"}) {
    add(field, 7);
    add(field, nullptr);
  }
  for (const nlohmann::json& entry : entries) {
    BOOST_TEST_CONTEXT(entry) {
      const std::optional<std::vector<VmEntry>> list = DecodeVmList(ListOf(entry));
      BOOST_TEST_REQUIRE(list.has_value());
      BOOST_TEST_REQUIRE(list->size() == 2U);
      BOOST_TEST((*list)[0].id == VmId("w1"));
      BOOST_TEST((*list)[1].id == VmId("w3"));
    }
  }
}

// Guards against the list of another program that counts as a list without VMs, which would retire
// all workers.
BOOST_AUTO_TEST_CASE(ListWithoutAnyValidVmIsRefused) {
  BOOST_TEST(!DecodeVmList({{"vms", {nullptr, 7}}}).has_value());
  BOOST_TEST(!DecodeVmList({{"vms", 7}}).has_value());
  BOOST_TEST(!DecodeVmList({{"others", nlohmann::json::array()}}).has_value());
  BOOST_TEST(DecodeVmList({{"vms", nlohmann::json::array()}}).has_value());
}

// Guards against limits that refuse what is merely unusual.
BOOST_AUTO_TEST_CASE(UnusualVmsAreUsed) {
  nlohmann::json odd = Vm("w2");
  odd["unknown"] = nlohmann::json::parse(Nested(kDeep));
  odd["address"] = "[::1]:65535";
  odd["capacity"]["cpu_milli"] = 8800.5;
  odd["capacity"]["memory_mib"] = 1'000'000'000;
  const nlohmann::json answer = {{"vms", nlohmann::json::array({std::move(odd)})}};
  const std::optional<std::vector<VmEntry>> list = DecodeVmList(answer);
  BOOST_TEST_REQUIRE((list.has_value() && list->size() == 1U));
  BOOST_TEST((*list)[0].capacity.cpu == MilliCores(8800));
  BOOST_TEST((*list)[0].capacity.memory == MebiBytes(1'000'000'000));
}

// Guards against numbers of a worker or executor that overflow in the owner's sums. An inventory
// counts as a whole: a task left out of it would be started once more.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRefused) {
  WorkerInventory inventory;
  inventory.worker = WorkerId("w1");
  inventory.boot = BootId("b1");
  inventory.attempts.resize(1);
  inventory.attempts[0].attempt = AttemptId("a1");
  const nlohmann::json valid = EncodeInventory(inventory);
  BOOST_TEST(DecodeInventory(valid).has_value());
  for (const nlohmann::json& number : BadNumbers()) {
    for (const char* pointer :
         {"/epoch/term", "/epoch/round", "/clock_ms", "/capacity/cpu_milli", "/capacity/slots",
          "/attempts/0/reserved/memory_mib", "/attempts/0/used/cpu_milli", "/attempts/0/run_ms"}) {
      nlohmann::json json = valid;
      json[nlohmann::json::json_pointer(pointer)] = number;
      BOOST_TEST_CONTEXT(pointer << " = " << number) {
        BOOST_TEST(!DecodeInventory(json).has_value());
      }
    }
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(!DecodeExecutorLoad({{"boot", "b"}, {"leaving", false}, {"busy_slots", number}})
                      .has_value());
      BOOST_TEST(!DecodeStoreRevision({{"revision", number}}).has_value());
      BOOST_TEST(!DecodeStoreWatch({{"changed", nlohmann::json::array()},
                                    {"deleted", nlohmann::json::array()},
                                    {"next", number}})
                      .has_value());
    }
  }
}

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
