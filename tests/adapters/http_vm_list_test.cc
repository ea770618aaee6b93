#include "adapters/http_vm_list.h"

#include "boost/test/unit_test.hpp"
#include "standins/vm_list_standin.h"
#include "tests/adapters/standin_fixture.h"

namespace pomelotray {
namespace {

nlohmann::json OneVm() {
  return {{"vms",
           {{{"id", "w1"},
             {"role", "worker"},
             {"address", "127.0.0.1:1"},
             {"region", "sierra"},
             {"domain", "cuenca"},
             {"rack", "r1"},
             {"pool", "rendering"},
             {"capacity",
              {{"cpu_milli", 64000}, {"memory_mib", 256}, {"accelerators", 8}, {"slots", 0}}}}}}};
}

struct VmListFixture : StandinFixture {
  VmListFixture() {
    BOOST_TEST_REQUIRE(standin.Load(OneVm()));
    BOOST_TEST_REQUIRE(standin.Start(0));
    list = HttpVmList::Builder().SetAddress(standin.address()).SetCallTimeout(kLongTimeout).Build();
  }

  Outcome<std::vector<VmEntry>> List() {
    return Capture([&] { return list->List(); });
  }
  void Patch(const nlohmann::json& change) {
    HttpChannel channel{HttpOptions{}};
    HttpCall call;
    call.method = "PATCH";
    call.path = "/vms/w1";
    call.body = change;
    call.timeout = kLongTimeout;
    BOOST_TEST(Capture([&] { return channel.Call(standin.address(), call); }).ok());
  }

  VmListStandin standin{&clock, &hybrid_clock, absl::Milliseconds(200)};
  std::unique_ptr<HttpVmList> list;
};

BOOST_FIXTURE_TEST_SUITE(HttpVmListTest, VmListFixture)

// Guards against rows that lose a field.
BOOST_AUTO_TEST_CASE(RowsAreWhole) {
  const Outcome<std::vector<VmEntry>> vms = List();
  BOOST_TEST_REQUIRE((vms.ok() && vms.value().size() == 1U));
  const VmEntry& vm = vms.value()[0];
  BOOST_TEST((vm.role == VmRole::kWorker));
  BOOST_TEST(vm.shard().ToString() == "cuenca/rendering");
  BOOST_TEST((vm.capacity.accelerators == AcceleratorCount(8)));
  BOOST_TEST(!vm.leaving);
}

// Guards against a stand-in that shows changes at once, which the platform's list does not.
BOOST_AUTO_TEST_CASE(ChangesLag) {
  Patch({{"leaving", true}});
  while (!List().value()[0].leaving) {
    clock.SleepFor(absl::Milliseconds(5));
  }
  Patch({{"remove", true}});
  while (!List().value().empty()) {
    clock.SleepFor(absl::Milliseconds(5));
  }
}

// Guards against a faulty entry that hides the others, or is logged with each read of the list.
BOOST_AUTO_TEST_CASE(FaultyEntryIsLoggedOnce) {
  HybridClock hybrid(&clock);
  EventLog events("test", &hybrid);
  list = HttpVmList::Builder()
             .SetAddress(standin.address())
             .SetCallTimeout(kLongTimeout)
             .SetEvents(&events)
             .Build();
  nlohmann::json vms = OneVm();
  vms["vms"].push_back({{"id", "w2"}, {"role", "worker"}, {"address", "127.0.0.1:70000"}});
  vms["vms"].push_back(nlohmann::json::parse(std::string(1000, '[') + std::string(1000, ']')));
  BOOST_TEST_REQUIRE(standin.Load(vms));
  for (int read = 0; read < 3; ++read) {
    const Outcome<std::vector<VmEntry>> read_vms = List();
    BOOST_TEST_REQUIRE((read_vms.ok() && read_vms.value().size() == 1U));
    BOOST_TEST(read_vms.value()[0].id == VmId("w1"));
  }
  const std::vector<Event> logged = events.Select({});
  BOOST_TEST_REQUIRE(logged.size() == 2U);
  BOOST_TEST((logged[0].code == EventCode::kInvalidInputRefused));
  BOOST_TEST(logged[0].fields.at(event_field::kReason) ==
             "The VM list has a malformed entry \"w2\", which is not used; correct its fields as "
             "docs/platform_interfaces.md shows.");
}

// Guards against a list that is cut off and read as a list without VMs.
BOOST_AUTO_TEST_CASE(BadListsAreErrors) {
  for (const char* mode : {"lose_answers", "truncate", "down"}) {
    SetFault(standin.address(), {{"mode", mode}});
    BOOST_TEST((KindOf(List()) == ErrorKind::kUnavailable), mode);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
