#include "cell/submission_writer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "base/system_clock.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

// Long enough for several attempts of a transaction that gets no answer.
constexpr absl::Duration kCreateTimeout = absl::Milliseconds(400);

struct TestWriter {
  Outcome<bool> Create(const std::string& key) {
    const EntryCreation entry{PartName("p.0.1"), key, "value", key + ".successor"};
    return Capture([&] { return writer.Create(entry, clock.Now() + kCreateTimeout); });
  }

  SystemClock clock;
  FakeStore store{&clock};
  std::atomic<int> failures{0};
  SubmissionWriter writer{&store, &clock, [this] { ++failures; }};
};

BOOST_AUTO_TEST_SUITE(SubmissionWriterTest)

// Guards against reporting a job as refused that runs later: kStoreUnavailable may be returned only
// if the entry was not written and never will be.
BOOST_AUTO_TEST_CASE(OutageIsReportedAsStoreUnavailable) {
  TestWriter test;
  test.store.SetDown(true);
  const Outcome<bool> created = test.Create("k");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST((created.error().kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(created.error().retry_after.has_value());
  test.store.SetDown(false);
  BOOST_TEST(!test.store.Peek("k").has_value());
  BOOST_TEST(test.failures.load() >= 1);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsRetriedAndEntryIsStored) {
  TestWriter test;
  std::atomic<int> calls{0};
  test.store.SetHook([&calls](const FakeStore::Call& call) {
    return call.kind == "commit" && ++calls == 1 ? StoreFault::kAnswerLost : StoreFault::kNone;
  });
  BOOST_TEST(test.Create("k").ok());
  BOOST_TEST(test.store.Peek("k").has_value());
}

// Guards against reporting an unknown outcome as a refusal.
BOOST_AUTO_TEST_CASE(MissingAnswerIsReportedAsUnknownOutcome) {
  TestWriter test;
  test.store.SetHook([](const FakeStore::Call&) { return StoreFault::kRequestLost; });
  const Outcome<bool> created = test.Create("k");
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST((created.error().kind == ErrorKind::kOutcomeUnknown));
}

// Guards against a duplicate job when a request with the same id arrives again at any instance.
BOOST_AUTO_TEST_CASE(ExistingEntryCountsAsStoredAndIsNotChanged) {
  TestWriter test;
  test.store.Put("k", "first");
  BOOST_TEST(test.Create("k").ok());
  BOOST_TEST(test.store.Peek("k")->value == "first");
}

// Guards against a second run of a finished job, whose intake entry has been replaced by a final
// state. A repeated request must not create the job again and must not report it as created,
// because the owner would be notified of a new job.
BOOST_AUTO_TEST_CASE(FinishedJobIsNotCreatedAgain) {
  TestWriter test;
  test.store.Put("k.successor", "completed");
  const Outcome<bool> created = test.Create("k");
  BOOST_REQUIRE(created.ok());
  BOOST_TEST(!created.value());
  BOOST_TEST(!test.store.Peek("k").has_value());
  BOOST_TEST(test.Create("other").value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
