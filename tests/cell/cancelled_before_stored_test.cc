// Cancellations of jobs whose submission has no known outcome.

#include <atomic>
#include <string>

#include "absl/strings/match.h"
#include "tests/cell/job_identity_fixture.h"

namespace pomelotray {
namespace {

BOOST_FIXTURE_TEST_SUITE(CancelledBeforeStoredTest, JobIdentityFixture)

// Guards against a job that runs after its client was told that there is no such job: the store
// carries out the creation after the cancellation, at the instance that was asked or at another
// one.
BOOST_AUTO_TEST_CASE(JobWhoseCreationArrivesLateNeverRuns) {
  Start(1, Rendering());
  for (const int cancelled_at : {0, 1}) {
    const std::string id = absl::StrCat("late", cancelled_at);
    store().SetHook([&id](const FakeStore::Call& call) {
      return call.kind == "commit" && absl::EndsWith(call.key, id) ? StoreFault::kCarriedOutLate
                                                                   : StoreFault::kNone;
    });
    BOOST_REQUIRE(SubmitWithin(absl::Milliseconds(300), 0, id) == "outcome_unknown");
    store().SetHook(nullptr);
    BOOST_TEST(Cancel(cancelled_at, id) == "not_found");
    BOOST_TEST(store().CarryOutLateCommits() == 0);
    // A repeated request is refused, and the job is not shown.
    BOOST_TEST(Submit(0, id) == "invalid_argument");
    BOOST_TEST(State(1, id) == "not_found");
    BOOST_TEST(Cancel(1, id) == "not_found");
  }
  BOOST_REQUIRE(Submit(0, "next") == "ok");
  BOOST_REQUIRE(Reaches(0, "next", "completed"));
  BOOST_TEST(workers().Starts() == 1);
}

// Guards against the same after all instances have lost power between the cancellation and the late
// creation.
BOOST_AUTO_TEST_CASE(WithdrawalOutlivesALossOfAllInstances) {
  Start(1, Rendering());
  store().SetHook([](const FakeStore::Call& call) {
    return call.kind == "commit" && absl::EndsWith(call.key, "/late") ? StoreFault::kCarriedOutLate
                                                                      : StoreFault::kNone;
  });
  BOOST_REQUIRE(SubmitWithin(absl::Milliseconds(300), 0, "late") == "outcome_unknown");
  store().SetHook(nullptr);
  BOOST_TEST(Cancel(1, "late") == "not_found");
  Replace(1, Rendering());
  BOOST_TEST(store().CarryOutLateCommits() == 0);
  BOOST_REQUIRE(Submit(0, "next") == "ok");
  BOOST_REQUIRE(Reaches(0, "next", "completed"));
  BOOST_TEST(workers().Starts() == 1);
}

// Guards against a 410 that nothing keeps while the store does not accept the withdrawal.
BOOST_AUTO_TEST_CASE(NoJobIsAnsweredAsMissingWhileNothingIsStored) {
  Start(1, Rendering());
  store().SetHook([](const FakeStore::Call& call) {
    return call.kind == "commit" && absl::EndsWith(call.key, "/j") ? StoreFault::kDown
                                                                   : StoreFault::kNone;
  });
  BOOST_TEST(Cancel(0, "j") == "store_unavailable");
  store().SetHook([](const FakeStore::Call& call) {
    return call.kind == "get" && absl::EndsWith(call.key, "/j") ? StoreFault::kDown
                                                                : StoreFault::kNone;
  });
  BOOST_TEST(Cancel(0, "j") == "store_unavailable");
  store().SetHook(nullptr);
  BOOST_TEST(Eventually([&] { return Cancel(0, "j") == "not_found"; }));
}

// Guards against entries of ids that nobody ever submits and that stay in the store.
BOOST_AUTO_TEST_CASE(WithdrawalEndsAfterTheRetention) {
  limits().retention = absl::Milliseconds(500);
  Start(1, Rendering());
  BOOST_TEST(Cancel(0, "j") == "not_found");
  BOOST_TEST(Cancel(1, "j") == "not_found");
  for (const std::string& key :
       {cell_keys::JobIdEntry(JobId("j")), cell_keys::Withdrawn(PartOf(Rendering()), JobId("j"))}) {
    BOOST_TEST(Eventually([&] { return !store().Peek(key).has_value(); }), key << " is left");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
