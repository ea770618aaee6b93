#include "cell/submission_writer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "base/system_clock.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

// Long enough for several tries of a transaction without an answer.
constexpr absl::Duration kPatience = absl::Milliseconds(400);

struct Setup {
  Outcome<bool> Create(const std::string& key) {
    const NewEntry entry{PartName("p.0.1"), key, "value", key + ".successor"};
    return Capture([&] { return writer.Create(entry, clock.Now() + kPatience); });
  }

  SystemClock clock;
  FakeStore store{&clock};
  std::atomic<int> failures{0};
  SubmissionWriter writer{&store, &clock, [this] { ++failures; }};
};

BOOST_AUTO_TEST_SUITE(SubmissionWriterTest)

// Guards against a refusal of a job that runs: "not stored" is said only when it can never be.
BOOST_AUTO_TEST_CASE(OutageIsACertainRefusal) {
  Setup setup;
  setup.store.SetDown(true);
  const Outcome<bool> created = setup.Create("k");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST((created.error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(created.error().retry_after.has_value());
  setup.store.SetDown(false);
  BOOST_TEST(!setup.store.Peek("k").has_value());
  BOOST_TEST(setup.failures.load() >= 1);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsTriedAgainAndFoundStored) {
  Setup setup;
  std::atomic<int> calls{0};
  setup.store.SetHook([&calls](const FakeStore::Call& call) {
    return call.kind == "commit" && ++calls == 1 ? StoreFault::kAnswerLost : StoreFault::kNone;
  });
  BOOST_TEST(setup.Create("k").ok());
  BOOST_TEST(setup.store.Peek("k").has_value());
}

// Guards against calling an unknown outcome a refusal.
BOOST_AUTO_TEST_CASE(OutcomeStaysUnknownWhenNoAnswerComes) {
  Setup setup;
  setup.store.SetHook([](const FakeStore::Call&) { return StoreFault::kRequestLost; });
  const Outcome<bool> created = setup.Create("k");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST((created.error().kind == ErrorKind::kOutcomeUnknown));
}

// Guards against a second job: the same id may arrive again at any instance.
BOOST_AUTO_TEST_CASE(ExistingEntryCountsAsStoredAndIsNotChanged) {
  Setup setup;
  setup.store.Put("k", "first");
  BOOST_TEST(setup.Create("k").ok());
  BOOST_TEST(setup.store.Peek("k")->value == "first");
}

// Guards against a second run of a finished job, whose own entry is gone: a resent request neither
// creates it again nor tells the owner of a new job.
BOOST_AUTO_TEST_CASE(FinishedJobIsNotCreatedAgain) {
  Setup setup;
  setup.store.Put("k.successor", "completed");
  const Outcome<bool> created = setup.Create("k");
  BOOST_REQUIRE(created.ok());
  BOOST_TEST(!created.value());
  BOOST_TEST(!setup.store.Peek("k").has_value());
  BOOST_TEST(setup.Create("other").value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
