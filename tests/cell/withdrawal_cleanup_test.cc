#include "cell/ownership/withdrawal_cleanup.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "base/manual_clock.h"
#include "cell/records/cell_keys.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kRetention = absl::Seconds(150);

struct CleanupFixture {
  void Withdraw(const std::string& id) {
    StoreTransaction transaction;
    for (const std::string& key : Keys(id)) {
      transaction.writes.push_back(StoreWrite{key, "1", EntryLifetime::Permanent()});
    }
    BOOST_REQUIRE(Capture([&] { return store.Commit(transaction); }).ok());
  }
  bool Has(const std::string& id) const {
    const std::vector<std::string> keys = Keys(id);
    BOOST_TEST(store.Peek(keys[0]).has_value() == store.Peek(keys[1]).has_value());
    return store.Peek(keys[0]).has_value();
  }
  // Runs as often as an owner does.
  void Run(absl::Duration duration) {
    const absl::Time end = clock.Now() + duration;
    while (clock.Now() < end) {
      cleanup.Run();
      clock.Advance(absl::Milliseconds(500));
    }
  }
  std::vector<std::string> Keys(const std::string& id) const {
    return {cell_keys::JobIdEntry(JobId(id)), cell_keys::Withdrawn(claim.part, JobId(id))};
  }

  ManualClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  FakeStore store{&clock};
  const PartClaim claim = Claim();
  WithdrawalCleanup cleanup{claim, &store, &clock, &events, kRetention};

 private:
  PartClaim Claim() {
    PartClaim made;
    made.part = PartName("rendering.0.1");
    made.revision = store.Put(cell_keys::Claim(made.part), "claim");
    return made;
  }
};

BOOST_FIXTURE_TEST_SUITE(WithdrawalCleanupTest, CleanupFixture)

// Guards against withdrawals that end before creations that are under way, and against those that
// never end. The number is above that of one transaction.
BOOST_AUTO_TEST_CASE(WithdrawalsEndAfterTheRetention) {
  for (int i = 0; i < 25; ++i) {
    Withdraw(std::to_string(i));
  }
  Run(kRetention);
  for (int i = 0; i < 25; ++i) {
    BOOST_TEST(Has(std::to_string(i)));
  }
  Run(kRetention / 2);
  for (int i = 0; i < 25; ++i) {
    BOOST_TEST(!Has(std::to_string(i)));
  }
}

// Guards against the end of a withdrawal on which a later answer rests.
BOOST_AUTO_TEST_CASE(RenewedWithdrawalStays) {
  Withdraw("j");
  Run(kRetention);
  Withdraw("j");
  Run(kRetention * 0.9);
  BOOST_TEST(Has("j"));
  Run(kRetention);
  BOOST_TEST(!Has("j"));
}

// Guards against a renewal between the reading and the removal.
BOOST_AUTO_TEST_CASE(RenewalDuringTheRemovalIsKept) {
  Withdraw("j");
  Run(kRetention);
  bool renewed = false;
  store.SetHook([&](const FakeStore::Call& call) {
    if (call.kind == "commit" && !renewed) {
      renewed = true;
      Withdraw("j");
    }
    return StoreFault::kNone;
  });
  Run(kRetention / 2);
  BOOST_TEST(renewed);
  BOOST_TEST(Has("j"));
}

// Guards against an owner that removes entries after another one has replaced it.
BOOST_AUTO_TEST_CASE(FormerOwnerRemovesNothing) {
  Withdraw("j");
  store.Put(cell_keys::Claim(claim.part), "next claim");
  Run(kRetention * 2);
  BOOST_TEST(Has("j"));
}

// Guards against a listing of the store with each round of the owner.
BOOST_AUTO_TEST_CASE(WithdrawalsAreReadSeldom) {
  Run(kRetention);
  BOOST_TEST(store.Calls("list") <= 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
