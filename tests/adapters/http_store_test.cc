#include "adapters/http_store.h"

#include <algorithm>
#include <future>
#include <string>

#include "boost/test/unit_test.hpp"
#include "standins/store_standin.h"
#include "tests/adapters/standin_fixture.h"

namespace pomelotray {
namespace {

struct StoreFixture : StandinFixture {
  StoreFixture() {
    BOOST_TEST_REQUIRE(standin.Start(0));
    store = NewStore();
  }

  std::unique_ptr<HttpStore> NewStore(absl::Duration timeout = kLongTimeout) const {
    return HttpStore::Builder()
        .SetAddress(standin.address())
        .SetCallTimeout(timeout)
        .SetClock(&clock)
        .Build();
  }

  Outcome<Revision> Put(HttpStore* store, const std::string& key, int64_t expected,
                        const std::string& value = "v") {
    return Capture([&] { return store->CompareAndSwap(key, Revision(expected), value); });
  }

  StoreStandin standin{&clock, &hybrid_clock};
  std::unique_ptr<HttpStore> store;
};

BOOST_FIXTURE_TEST_SUITE(HttpStoreTest, StoreFixture)

// Guards against values, such as MessagePack, that are changed on their way.
BOOST_AUTO_TEST_CASE(ValuesAreBinarySafe) {
  std::string value;
  for (int byte = 0; byte < 256; ++byte) {
    value.push_back(static_cast<char>(byte));
  }
  const Outcome<Revision> revision = Put(store.get(), "a", 0, value);
  BOOST_TEST_REQUIRE(revision.ok());
  const Outcome<std::optional<StoreEntry>> entry = Capture([&] { return store->Get("a"); });
  BOOST_TEST_REQUIRE((entry.ok() && entry.value().has_value()));
  BOOST_TEST((entry.value()->value == value));
  BOOST_TEST((entry.value()->revision == revision.value()));
}

// Guards against a largest value that the interface's own encoding makes too long, and against one
// byte more that is stored.
BOOST_AUTO_TEST_CASE(ValuesMayHaveOneMillionBytes) {
  BOOST_TEST(Put(store.get(), "a", 0, std::string(kMaxStoreValueBytes, '\xff')).ok());
  BOOST_TEST((KindOf(Put(store.get(), "b", 0, std::string(kMaxStoreValueBytes + 1, 'x'))) ==
              ErrorKind::kInvalidArgument));
}

// Guards against a lost compare-and-swap that looks like an outage.
BOOST_AUTO_TEST_CASE(LostCompareAndSwapIsAConflict) {
  BOOST_TEST_REQUIRE(Put(store.get(), "a", 0).ok());
  BOOST_TEST((KindOf(Put(store.get(), "a", 0)) == ErrorKind::kConflict));
  BOOST_TEST(
      (KindOf(Capture([&] { return store->Delete("a", Revision(7)); })) == ErrorKind::kConflict));
}

// Guards against an outage without effect that is reported as an unknown outcome.
BOOST_AUTO_TEST_CASE(OutageHasNoEffect) {
  SetFault(standin.address(), {{"mode", "down"}});
  BOOST_TEST((KindOf(Put(store.get(), "a", 0)) == ErrorKind::kStoreUnavailable));
  BOOST_TEST((KindOf(Capture([&] { return store->Get("a"); })) == ErrorKind::kStoreUnavailable));
  SetFault(standin.address(), {{"mode", "none"}});
  const Outcome<std::optional<StoreEntry>> entry = Capture([&] { return store->Get("a"); });
  BOOST_TEST_REQUIRE(entry.ok());
  BOOST_TEST(!entry.value().has_value());
}

// Guards against a refused connection that is reported as an unknown outcome.
BOOST_AUTO_TEST_CASE(RefusedConnectionHasNoEffect) {
  standin.Stop();
  BOOST_TEST((KindOf(Put(store.get(), "a", 0)) == ErrorKind::kStoreUnavailable));
}

// Guards against a write that took effect, but whose answer was lost or cut off, and that is
// reported as done or as not done.
BOOST_AUTO_TEST_CASE(LostAnswersLeaveTheOutcomeUnknown) {
  int64_t number = 0;
  for (const char* mode : {"lose_answers", "truncate"}) {
    const std::string key = "key" + std::to_string(number++);
    SetFault(standin.address(), {{"mode", mode}});
    BOOST_TEST((KindOf(Put(store.get(), key, 0)) == ErrorKind::kOutcomeUnknown), mode);
    BOOST_TEST((KindOf(Capture([&] { return store->GrantLease(absl::Seconds(9)); })) ==
                ErrorKind::kOutcomeUnknown),
               mode);
    BOOST_TEST((KindOf(Capture([&] { return store->List(""); })) == ErrorKind::kStoreUnavailable),
               mode);
    SetFault(standin.address(), {{"mode", "none"}});
    const Outcome<std::optional<StoreEntry>> entry = Capture([&] { return store->Get(key); });
    BOOST_TEST((entry.ok() && entry.value().has_value()), mode);
  }
}

// Guards against a call that waits for ever on a slow store.
BOOST_AUTO_TEST_CASE(TimeoutLeavesTheOutcomeUnknown) {
  const std::unique_ptr<HttpStore> hasty = NewStore(absl::Milliseconds(100));
  SetFault(standin.address(), {{"mode", "delay"}, {"delay_ms", 1000}});
  BOOST_TEST((KindOf(Put(hasty.get(), "a", 0)) == ErrorKind::kOutcomeUnknown));
  BOOST_TEST((KindOf(Capture([&] { return hasty->Get("a"); })) == ErrorKind::kStoreUnavailable));
}

// Guards against a waiting watch that blocks other calls of the same adapter, and against a watch
// that misses the change that it waits for.
BOOST_AUTO_TEST_CASE(WatchDoesNotBlockOtherCalls) {
  std::future<Outcome<WatchBatch>> watch = std::async(std::launch::async, [&] {
    return Capture([&] { return store->Watch("c/", Revision(0), absl::Seconds(15)); });
  });
  while (standin.CallCount("watch") == 0) {
    clock.SleepFor(absl::Milliseconds(1));
  }
  BOOST_TEST(Put(store.get(), "other", 0).ok());
  BOOST_TEST(Put(store.get(), "c/x", 0).ok());
  const Outcome<WatchBatch> batch = watch.get();
  BOOST_TEST_REQUIRE(batch.ok());
  BOOST_TEST_REQUIRE(batch.value().changed.size() == 1U);
  BOOST_TEST(batch.value().changed[0].key == "c/x");
  BOOST_TEST((batch.value().next == Revision(2)));
}

// Guards against a watch without changes that ends as an error or never.
BOOST_AUTO_TEST_CASE(WatchWithoutChangeEndsEmpty) {
  const Outcome<WatchBatch> batch =
      Capture([&] { return store->Watch("c/", Revision(0), absl::Milliseconds(50)); });
  BOOST_TEST_REQUIRE(batch.ok());
  BOOST_TEST(batch.value().changed.empty());
}

// Guards against keys that outlive their lease, and a lapsed lease that can be renewed.
BOOST_AUTO_TEST_CASE(LapsedLeaseDeletesItsKeys) {
  const Outcome<StoreLeaseId> lease =
      Capture([&] { return store->GrantLease(absl::Milliseconds(200)); });
  BOOST_TEST_REQUIRE(lease.ok());
  const Outcome<Revision> revision =
      Capture([&] { return store->CompareAndSwap("i/1", Revision(0), "v", lease.value()); });
  BOOST_TEST_REQUIRE(revision.ok());
  const Outcome<WatchBatch> batch =
      Capture([&] { return store->Watch("i/", revision.value(), absl::Seconds(15)); });
  BOOST_TEST_REQUIRE(batch.ok());
  BOOST_TEST((batch.value().deleted == std::vector<std::string>{"i/1"}));
  BOOST_TEST(
      (KindOf(Capture([&] { return store->KeepAlive(lease.value()); })) == ErrorKind::kNotFound));
}

// Guards against text that cannot be sent and brings the process down.
BOOST_AUTO_TEST_CASE(KeysThatAreNotTextAreRefused) {
  BOOST_TEST((KindOf(Put(store.get(), "\xff\xfe", 0)) == ErrorKind::kInvalidArgument));
}

// Guards against an adapter that opens a connection for each call, or keeps idle ones for ever.
BOOST_AUTO_TEST_CASE(ConnectionsAreReused) {
  HttpOptions options;
  options.clock = &clock;
  HttpChannel channel(options);
  HttpCall call;
  call.method = "GET";
  call.path = "/counts";
  call.timeout = kLongTimeout;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Capture([&] { return channel.Call(standin.address(), call); }).ok());
  }
  BOOST_TEST(channel.idle_connections() == 1U);
}

// Guards against a second program on a port that is taken, which would share its calls.
BOOST_AUTO_TEST_CASE(TakenPortIsRefused) {
  StoreStandin second(&clock, &hybrid_clock);
  BOOST_TEST(!second.Start(standin.port()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
