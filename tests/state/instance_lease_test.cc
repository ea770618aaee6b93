#include "state/instance_lease.h"

#include "boost/test/unit_test.hpp"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

InstanceRecord Self() {
  return InstanceRecord{InstanceId("i1"), FailureDomainId("cuenca"), RegionId("sierra"),
                        "127.0.0.1:7000", 42};
}

BOOST_AUTO_TEST_SUITE(InstanceLeaseTest)

// Guards against an instance that considers its lease valid after the store has expired it, for
// example because the validity period is counted from the response to a renewal instead of from the
// time the renewal was sent.
BOOST_AUTO_TEST_CASE(LeaseIsNotHeldAfterTheStoreExpiresIt) {
  StateFixture fixture;
  InstanceLease lease(fixture.Context(), Self());
  BOOST_TEST(!lease.Held());
  lease.Start();
  BOOST_TEST(fixture.AdvanceUntil([&] { return lease.Held(); }));
  const Outcome<std::vector<InstanceRecord>> live = Capture([&] { return lease.LiveRecords(); });
  BOOST_TEST(live.value().size() == 1U);
  BOOST_TEST(live.value()[0].peer_address == "127.0.0.1:7000");
  BOOST_TEST(live.value()[0].incarnation == 42);
  fixture.AdvanceBy(absl::Seconds(5));
  BOOST_TEST(lease.Held());
  fixture.store.SetDown(true);
  bool held_without_key = false;
  BOOST_TEST(fixture.AdvanceUntil([&] {
    const bool held = lease.Held();
    fixture.store.SetDown(false);
    const Outcome<std::set<InstanceId>> ids = Capture([&] { return lease.LiveInstances(); });
    fixture.store.SetDown(true);
    held_without_key = held_without_key || (held && ids.ok() && ids.value().empty());
    return !held;
  }));
  BOOST_TEST(!held_without_key);
}

// Guards against an instance that obtains no new lease after its lease has expired, and against one
// that leaves its lease in the store when it stops, so that others must wait for it to expire.
BOOST_AUTO_TEST_CASE(RequestsNewLeaseAfterExpiryAndRevokesOnStop) {
  StateFixture fixture;
  InstanceLease lease(fixture.Context(), Self());
  lease.Start();
  BOOST_TEST(fixture.AdvanceUntil([&] { return lease.Held(); }));
  fixture.store.ExpireAllLeases();
  BOOST_TEST(!fixture.store.Peek("instances/i1").has_value());
  BOOST_TEST(fixture.AdvanceUntil([&] { return fixture.store.Peek("instances/i1").has_value(); }));
  BOOST_TEST(fixture.AdvanceUntil([&] { return lease.Held(); }));
  lease.Stop();
  BOOST_TEST(!lease.Held());
  BOOST_TEST(!fixture.store.Peek("instances/i1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
