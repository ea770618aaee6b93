#include "cell/intake/submission_writer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/notification.h"
#include "base/system_clock.h"
#include "tests/cell/eventually.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

// Long enough for several attempts of a transaction that gets no answer.
constexpr absl::Duration kCreateTimeout = absl::Milliseconds(400);

// Availability that the test sets. A reported failure is counted and, if the test says so, makes
// the store unavailable until the test sets it again.
class FakeAvailability : public StoreAvailability {
 public:
  bool IsStoreAvailable() const override { return available_; }
  void ReportStoreFailure() override {
    ++failures_;
    if (failures_end_availability_) {
      available_ = false;
    }
  }
  void SetAvailable(bool available) { available_ = available; }
  void LetFailuresEndAvailability() { failures_end_availability_ = true; }
  int failures() const { return failures_; }

 private:
  std::atomic<bool> available_{true};
  std::atomic<bool> failures_end_availability_{false};
  std::atomic<int> failures_{0};
};

struct TestWriter {
  Outcome<bool> Create(const std::string& key, absl::Duration max_wait = kCreateTimeout,
                       absl::Duration timeout = kCreateTimeout) {
    const EntryCreation creation{
        JobId(key),
        {NewEntry{key, "value", Revision(0)}, NewEntry{key + ".second", "value", Revision(0)}},
        {StoreCondition{key + ".absent", Revision(0)}},
        {}};
    return Capture([&] {
      return writer.Create(creation, CreationLimits{max_wait, clock.Now() + timeout});
    });
  }

  SystemClock clock;
  FakeStore store{&clock};
  FakeAvailability availability;
  SubmissionWriter writer{&store, &clock, &availability};
};

// Creates one entry on a thread of its own.
class BackgroundCreation {
 public:
  BackgroundCreation(TestWriter* test, const std::string& key, absl::Duration max_wait)
      : thread_([this, test, key, max_wait] {
          const Outcome<bool> created = test->Create(key, max_wait, absl::Hours(1));
          outcome_ = created.ok() ? "created" : std::string(ErrorKindName(created.error().kind));
        }) {}

  // Waits for the end of the creation and returns "created" or the kind of its error.
  const std::string& Wait() {
    thread_.join();
    return outcome_;
  }

 private:
  std::string outcome_;
  std::thread thread_;
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
  BOOST_TEST(test.availability.failures() >= 1);
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

// Guards against a second run of a job: if one of its entries exists, or a further condition does
// not hold, nothing may be created, and it must not be reported as created, because the owner would
// be notified of a new job.
BOOST_AUTO_TEST_CASE(EntriesAreCreatedTogetherOrNotAtAll) {
  for (const char* existing : {"k", "k.second", "k.absent"}) {
    TestWriter test;
    test.store.Put(existing, "earlier");
    const Outcome<bool> created = test.Create("k");
    BOOST_REQUIRE(created.ok());
    BOOST_TEST(!created.value());
    for (const char* key : {"k", "k.second"}) {
      BOOST_TEST(test.store.Peek(key).has_value() == (key == std::string(existing)));
    }
    BOOST_TEST(test.Create("other").value());
    BOOST_TEST(test.store.Peek("other.second").has_value());
  }
}

// Guards against a transaction that the store refuses because it has too many entries: all callers
// of a burst would be refused with it.
BOOST_AUTO_TEST_CASE(TransactionsOfABurstStayWithinTheLimitOfTheStore) {
  constexpr int kCallers = 3 * static_cast<int>(kMaxTransactionEntries);
  TestWriter test;
  absl::Notification released;
  test.store.SetHook([&released](const FakeStore::Call&) {
    released.WaitForNotification();
    return StoreFault::kNone;
  });
  std::vector<std::unique_ptr<BackgroundCreation>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
        std::make_unique<BackgroundCreation>(&test, "k" + std::to_string(i), absl::Hours(1)));
  }
  BOOST_REQUIRE(Eventually([&] { return test.store.Calls("commit") == 1; }));
  released.Notify();
  for (const std::unique_ptr<BackgroundCreation>& caller : callers) {
    BOOST_TEST(caller->Wait() == "created");
  }
}

// Load: the store goes silent while callers keep arriving. Guards against one unknown outcome for
// each of them: only the entries that were sent before the failure was seen may have one.
BOOST_AUTO_TEST_CASE(SilentStoreLeavesOnlyTheSentEntryUnknown) {
  constexpr int kLaterCallers = 20;
  TestWriter test;
  test.availability.LetFailuresEndAvailability();
  absl::Notification lost;
  test.store.SetHook([&lost](const FakeStore::Call&) {
    lost.WaitForNotification();
    return StoreFault::kRequestLost;
  });
  BackgroundCreation first(&test, "first", absl::Hours(1));
  BOOST_REQUIRE(Eventually([&] { return test.store.Calls("commit") == 1; }));
  std::vector<std::unique_ptr<BackgroundCreation>> later;
  later.reserve(kLaterCallers);
  for (int i = 0; i < kLaterCallers; ++i) {
    later.push_back(
        std::make_unique<BackgroundCreation>(&test, "later" + std::to_string(i), absl::Hours(1)));
  }
  lost.Notify();
  BOOST_REQUIRE(Eventually([&] { return test.availability.failures() == 1; }));
  test.writer.Stop();
  BOOST_TEST(first.Wait() == std::string(ErrorKindName(ErrorKind::kOutcomeUnknown)));
  for (const std::unique_ptr<BackgroundCreation>& creation : later) {
    BOOST_TEST(creation->Wait() == std::string(ErrorKindName(ErrorKind::kStoreUnavailable)));
  }
  BOOST_TEST(test.store.Calls("commit") == 1);
}

// Load: jobs whose objective is far away arrive during an outage. Guards against refusing them
// although the store returns in time.
BOOST_AUTO_TEST_CASE(EntryWaitsForTheReturnOfTheStore) {
  TestWriter test;
  test.availability.SetAvailable(false);
  BackgroundCreation waiting(&test, "k", absl::Hours(1));
  BOOST_TEST(!test.Create("other", absl::ZeroDuration()).ok());
  BOOST_TEST(test.store.Calls("commit") == 0);
  test.availability.SetAvailable(true);
  BOOST_TEST(waiting.Wait() == "created");
  BOOST_TEST(test.store.Peek("k").has_value());
}

// Guards against a refusal of an entry that is written later, once the store is back.
BOOST_AUTO_TEST_CASE(EntryThatWaitedTooLongIsRefusedAndNeverWritten) {
  TestWriter test;
  test.availability.SetAvailable(false);
  const Outcome<bool> created = test.Create("k", absl::Milliseconds(50), absl::Hours(1));
  BOOST_REQUIRE(!created.ok());
  BOOST_TEST((created.error().kind == ErrorKind::kStoreUnavailable));
  test.availability.SetAvailable(true);
  BOOST_TEST(test.Create("next").ok());
  BOOST_TEST(!test.store.Peek("k").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
