#include "cell/intake/job_registry.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "base/manual_clock.h"
#include "cell/records/cell_keys.h"
#include "cell/records/job_record.h"
#include "tests/cell/direct_writer.h"
#include "tests/cell/scheduler_fixture.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

constexpr char kId[] = "00000000000000aa";
const CreationLimits kLimits = {absl::ZeroDuration(), absl::InfiniteFuture()};

PartName Rendering() { return PartName("rendering.0.1"); }
PartName Labels() { return PartName("labels.0.1"); }

std::string Intake(const std::string& customer = "") {
  JobIntake intake = SchedulerFixture::Job(kId, {SchedulerFixture::Step(1, 1000)});
  intake.customer = CustomerId(customer);
  return EncodeIntake(intake);
}

CallerRights CallerOf(const std::string& customer) {
  CallerRights rights;
  rights.submits_for = CustomerId(customer);
  rights.customer = CustomerId(customer);
  rights.sees_all_jobs = customer.empty();
  return rights;
}

struct RegistryFixture {
  // Returns "created", "known", "in use" or the kind of the error.
  std::string Register(const PartName& part, const std::string& customer = "") {
    const Outcome<Registration> registered = Capture([&] {
      return registry.Register(NewJob{JobId(kId), part, Intake(customer)}, CallerOf(customer),
                               kLimits);
    });
    if (!registered.ok()) {
      return std::string(ErrorKindName(registered.error().kind));
    }
    switch (registered.value()) {
      case Registration::kCreated:
        return "created";
      case Registration::kKnown:
        return "known";
      case Registration::kInUse:
        return "in use";
      case Registration::kWithdrawn:
        return "withdrawn";
    }
    return "";
  }
  // Returns "cancelled", "missing" or the kind of the error.
  std::string Cancel(const PartName& expected, const std::string& customer = "") {
    const Outcome<bool> exists =
        Capture([&] { return registry.Cancel(JobId(kId), expected, CallerOf(customer), kLimits); });
    return exists.ok() ? (exists.value() ? "cancelled" : "missing")
                       : std::string(ErrorKindName(exists.error().kind));
  }
  bool Has(const std::string& key) const { return store.Peek(key).has_value(); }

  ManualClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  FakeStore store{&clock};
  DirectWriter writer{&store};
  std::vector<std::string> notified;
  JobRegistry registry{
      &store, &writer, &clock, &events,
      [this](const PartName&, const NewEntry& entry) { notified.push_back(entry.key); }};
};

BOOST_FIXTURE_TEST_SUITE(JobRegistryTest, RegistryFixture)

// Guards against two jobs of one id in different parts.
BOOST_AUTO_TEST_CASE(IdNamesOneJobWhicheverPartIsExpected) {
  BOOST_TEST(Register(Rendering()) == "created");
  BOOST_TEST(Register(Labels()) == "known");
  BOOST_TEST(Register(Rendering()) == "known");
  BOOST_TEST(!Has(cell_keys::Job(Labels(), JobId(kId))));
  BOOST_TEST(Cancel(Labels()) == "cancelled");
  BOOST_TEST(Has(cell_keys::Cancel(Rendering(), JobId(kId))));
  BOOST_TEST(!Has(cell_keys::Cancel(Labels(), JobId(kId))));
  // The owner is told of each entry once.
  BOOST_TEST(Cancel(Labels()) == "cancelled");
  BOOST_TEST(notified.size() == 2U);
}

// Guards against a submission that takes over the job of another customer, and against a customer
// that cancels it, whatever the part.
BOOST_AUTO_TEST_CASE(IdOfAnotherCustomerIsInUse) {
  BOOST_TEST(Register(Rendering(), "a") == "created");
  for (const PartName& part : {Rendering(), Labels()}) {
    BOOST_TEST(Register(part, "b") == "in use");
    BOOST_TEST(Cancel(part, "b") == "missing");
    BOOST_TEST(Register(part, "a") == "known");
  }
  BOOST_TEST(!Has(cell_keys::Cancel(Rendering(), JobId(kId))));
}

// Guards against jobs that the former version stored, without entries for their ids, and that are
// run again or cannot be cancelled after an upgrade.
BOOST_AUTO_TEST_CASE(JobsWithoutAnEntryForTheIdAreKnownInTheirPart) {
  const std::string finished = R"({"state":"completed"})";
  for (const std::string& key :
       {cell_keys::Job(Rendering(), JobId(kId)), cell_keys::Finished(Rendering(), JobId(kId))}) {
    store.Put(key, absl::StrContains(key, "finished") ? finished : Intake());
    BOOST_TEST(Register(Rendering()) == "known");
    BOOST_TEST(Cancel(Rendering()) == "cancelled");
    BOOST_TEST(Has(cell_keys::Cancel(Rendering(), JobId(kId))));
    BOOST_TEST(Cancel(Rendering()) == "cancelled");
    store.Remove(cell_keys::Cancel(Rendering(), JobId(kId)));
    store.Remove(key);
  }
}

// Guards against a refusal of a request whose job an earlier one has stored: "not run" would be
// false.
BOOST_AUTO_TEST_CASE(UnreadableConflictIsAnUnknownOutcome) {
  BOOST_TEST(Register(Rendering()) == "created");
  store.SetHook([](const FakeStore::Call& call) {
    return call.kind == "get" ? StoreFault::kDown : StoreFault::kNone;
  });
  BOOST_TEST(Register(Labels()) == "outcome_unknown");
  store.SetHook(nullptr);
  store.Put(cell_keys::JobIdEntry(JobId(kId)), "{");
  BOOST_TEST(Register(Labels()) == "outcome_unknown");
  BOOST_TEST(Cancel(Labels()) == "internal");
}

// Guards against a cancellation that is stored after the job's entries were removed: nothing would
// remove it.
BOOST_AUTO_TEST_CASE(CancelOfARemovedJobLeavesNoEntry) {
  BOOST_TEST(Register(Rendering()) == "created");
  store.SetHook([this](const FakeStore::Call& call) {
    if (call.kind == "commit") {
      store.Remove(cell_keys::JobIdEntry(JobId(kId)));
      store.Remove(cell_keys::Job(Rendering(), JobId(kId)));
    }
    return StoreFault::kNone;
  });
  BOOST_TEST(Cancel(Rendering()) == "missing");
  BOOST_TEST(!Has(cell_keys::Cancel(Rendering(), JobId(kId))));
}

// Guards against a job that is stored after its client was told that it does not exist, whatever
// the part and however often the request arrives.
BOOST_AUTO_TEST_CASE(WithdrawnIdTakesNoJob) {
  BOOST_TEST(Cancel(Labels()) == "missing");
  for (const PartName& part : {Rendering(), Labels()}) {
    BOOST_TEST(Register(part) == "withdrawn");
    BOOST_TEST(Cancel(part) == "missing");
    BOOST_TEST(!Has(cell_keys::Job(part, JobId(kId))));
  }
  BOOST_TEST(notified.empty());
}

// Guards against a caller that keeps the id of another customer's job from being accepted, and
// against entries of the replaced withdrawal that stay.
BOOST_AUTO_TEST_CASE(WithdrawalHoldsForTheJobsThatItsCallerMayCancel) {
  BOOST_TEST(Cancel(Labels(), "b") == "missing");
  BOOST_TEST(Register(Rendering(), "b") == "withdrawn");
  BOOST_TEST(Register(Rendering(), "a") == "created");
  BOOST_TEST(!Has(cell_keys::Withdrawn(Labels(), JobId(kId))));
  BOOST_TEST(Register(Rendering(), "b") == "in use");
  BOOST_TEST(Cancel(Rendering(), "a") == "cancelled");
}

// Guards against a withdrawal that is lost when another customer withdraws the same id.
BOOST_AUTO_TEST_CASE(SeveralCustomersMayWithdrawAnId) {
  BOOST_TEST(Cancel(Labels(), "a") == "missing");
  BOOST_TEST(Cancel(Rendering(), "b") == "missing");
  BOOST_TEST(Register(Rendering(), "a") == "withdrawn");
  BOOST_TEST(Register(Rendering(), "b") == "withdrawn");
  BOOST_TEST(Has(cell_keys::Withdrawn(Labels(), JobId(kId))));
  BOOST_TEST(!Has(cell_keys::Withdrawn(Rendering(), JobId(kId))));
  BOOST_TEST(Register(Rendering(), "c") == "created");
}

// Guards against a withdrawal that ends soon after the last cancellation of the id: each one begins
// its time anew, which the removal goes by.
BOOST_AUTO_TEST_CASE(EachCancellationRenewsTheWithdrawal) {
  BOOST_TEST(Cancel(Rendering()) == "missing");
  const Revision first = store.Peek(cell_keys::JobIdEntry(JobId(kId)))->revision;
  BOOST_TEST(Cancel(Labels()) == "missing");
  const Revision second = store.Peek(cell_keys::JobIdEntry(JobId(kId)))->revision;
  BOOST_TEST((first < second));
  BOOST_TEST((store.Peek(cell_keys::Withdrawn(Rendering(), JobId(kId)))->revision == second));
}

// Guards against a 410 that nothing in the store keeps.
BOOST_AUTO_TEST_CASE(CancellationThatIsNotStoredIsNotAnsweredAsMissing) {
  store.SetHook([](const FakeStore::Call& call) {
    return call.kind == "commit" ? StoreFault::kDown : StoreFault::kNone;
  });
  BOOST_TEST(Cancel(Rendering()) == "store_unavailable");
  store.SetHook([](const FakeStore::Call& call) {
    return call.kind == "commit" ? StoreFault::kRequestLost : StoreFault::kNone;
  });
  BOOST_TEST(Cancel(Rendering()) == "outcome_unknown");
}

// Guards against a submission that commits between the look and the withdrawal: the job is
// cancelled.
BOOST_AUTO_TEST_CASE(JobThatIsStoredMeanwhileIsCancelled) {
  bool stored = false;
  store.SetHook([&](const FakeStore::Call& call) {
    if (call.kind == "commit" && !stored) {
      stored = true;
      BOOST_TEST(Register(Rendering()) == "created");
    }
    return StoreFault::kNone;
  });
  BOOST_TEST(Cancel(Labels()) == "cancelled");
  BOOST_TEST(Has(cell_keys::Cancel(Rendering(), JobId(kId))));
}

// Load: one client cancels ids at random. Guards against using up the writes that all instances
// share, and against refusing cancellations of jobs because of it.
BOOST_AUTO_TEST_CASE(WithdrawalsAreLimited) {
  BOOST_TEST(Register(Rendering()) == "created");
  const auto cancel = [this](int number) {
    return Capture([&] {
      return registry.Cancel(JobId("random" + std::to_string(number)), Rendering(), CallerOf(""),
                             kLimits);
    });
  };
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    const Outcome<bool> cancelled = cancel(i);
    if (!cancelled.ok()) {
      ++refused;
      BOOST_TEST(ErrorKindName(cancelled.error().kind) == ErrorKindName(ErrorKind::kOverloaded));
      BOOST_TEST(cancelled.error().retry_after.has_value());
    }
  }
  BOOST_TEST(refused == 100);
  BOOST_TEST(Cancel(Rendering()) == "cancelled");
  clock.Advance(absl::Seconds(1));
  BOOST_TEST(cancel(1000).ok());
}

// Guards against calls of the store beyond those that the design names: its rates are shared by all
// instances.
BOOST_AUTO_TEST_CASE(CallsOfTheStore) {
  Register(Rendering());
  BOOST_TEST(store.AllCalls() == 1);
  Cancel(Rendering());
  BOOST_TEST(store.Calls("get") == 1);
  BOOST_TEST(store.Calls("commit") == 2);
  BOOST_TEST(store.AllCalls() == 3);
  registry.Cancel(JobId("unknown"), Rendering(), CallerOf(""), kLimits);
  BOOST_TEST(store.Calls("get") == 2);
  BOOST_TEST(store.Calls("commit") == 3);
  BOOST_TEST(store.AllCalls() == 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
