// What callers see of the jobs of a queue whose route goes to another service.

#include <string>

#include "absl/strings/match.h"
#include "tests/cell/job_identity_fixture.h"

namespace pomelotray {
namespace {

BOOST_FIXTURE_TEST_SUITE(MovedQueueTest, JobIdentityFixture)

// Guards against an accepted job that is answered as unknown, and run again when its request
// arrives once more, because its queue goes to another service now.
BOOST_AUTO_TEST_CASE(FinishedJobIsKnownAndNotRunAgain) {
  Start(1, Rendering());
  BOOST_REQUIRE(Submit(0, "j") == "ok");
  BOOST_REQUIRE(Reaches(0, "j", "completed"));
  ApplyAtAll(2, Labels());
  for (int i = 0; i < kInstances; ++i) {
    BOOST_TEST(State(i, "j") == "completed");
    BOOST_TEST(Submit(i, "j") == "ok");
  }
  BOOST_REQUIRE(Submit(0, "next") == "ok");
  BOOST_REQUIRE(Reaches(0, "next", "completed"));
  BOOST_TEST(workers().Starts() == 2);
  BOOST_TEST(absl::StartsWith(workers().LastStartedOn().value(), "l"));
}

// Guards against the same after a move there and back, and after all instances have lost power.
BOOST_AUTO_TEST_CASE(JobsOfAllServicesAreKnownAfterMovesAndLossOfPower) {
  Start(1, Rendering());
  BOOST_REQUIRE(Submit(0, "first") == "ok");
  ApplyAtAll(2, Labels());
  BOOST_REQUIRE(Submit(0, "second") == "ok");
  ApplyAtAll(3, Rendering());
  for (const char* id : {"first", "second"}) {
    BOOST_TEST(Reaches(1, id, "completed"));
  }
  Replace(4, Labels());
  for (int i = 0; i < kInstances; ++i) {
    for (const char* id : {"first", "second"}) {
      BOOST_TEST(State(i, id) == "completed");
      BOOST_TEST(Submit(i, id) == "ok");
    }
  }
  BOOST_TEST(workers().Starts() == 2);
}

// Guards against two jobs of one id while one instance has an older version in force.
BOOST_AUTO_TEST_CASE(InstancesWithDifferentVersionsStoreOneJob) {
  Start(1, Rendering());
  Apply(1, 2, Labels());
  BOOST_REQUIRE(Submit(0, "a") == "ok");
  BOOST_REQUIRE(Submit(1, "a") == "ok");
  BOOST_REQUIRE(Submit(1, "b") == "ok");
  BOOST_REQUIRE(Submit(0, "b") == "ok");
  for (const char* id : {"a", "b"}) {
    for (int i = 0; i < kInstances; ++i) {
      BOOST_TEST(Reaches(i, id, "completed"));
    }
  }
  BOOST_TEST(workers().Starts() == 2);
}

// Guards against a cancel of an accepted job that is answered as unknown and has no effect, and
// against waiting jobs of the former service that are not counted as pending.
BOOST_AUTO_TEST_CASE(WaitingJobIsCountedAndCancelled) {
  Start(1, Rendering());
  BOOST_REQUIRE(Submit(0, "j", WaitingTask()) == "ok");
  ApplyAtAll(2, Labels());
  for (int i = 0; i < kInstances; ++i) {
    BOOST_TEST(State(i, "j") == "queued");
    BOOST_TEST(Eventually([&] { return Pending(i) == 1; }));
  }
  BOOST_TEST(Cancel(1, "j") == "ok");
  BOOST_TEST(Reaches(0, "j", "cancelled"));
  for (int i = 0; i < kInstances; ++i) {
    BOOST_TEST(Cancel(i, "j") == "ok");
    BOOST_TEST(Eventually([&] { return Pending(i) == 0; }));
  }
}

// Guards against later occurrences of a job that are lost or run by another service after a move:
// a job stays with the service that accepted it.
BOOST_AUTO_TEST_CASE(LaterOccurrencesStayWithTheServiceThatAcceptedTheJob) {
  Start(1, Rendering());
  WorkflowSpec spec = OneTask();
  spec.occurrences = 2;
  spec.first_due = clock().Now();
  spec.interval = absl::Seconds(2);
  BOOST_REQUIRE(Submit(0, "j", spec) == "ok");
  BOOST_REQUIRE(Eventually([&] { return workers().Starts() == 1; }));
  ApplyAtAll(2, Labels());
  BOOST_TEST(Reaches(1, "j", "completed"));
  BOOST_TEST(workers().Starts() == 2);
  BOOST_TEST(absl::StartsWith(workers().LastStartedOn().value(), "w"));
}

// Guards against entries of ids that stay in the store after the retention of their jobs.
BOOST_AUTO_TEST_CASE(NoEntryIsLeftAfterTheRetention) {
  limits().retention = absl::Milliseconds(500);
  Start(1, Rendering());
  BOOST_REQUIRE(Submit(0, "done") == "ok");
  BOOST_REQUIRE(Submit(0, "cancelled", WaitingTask()) == "ok");
  BOOST_REQUIRE(Cancel(0, "cancelled") == "ok");
  ApplyAtAll(2, Labels());
  for (const char* id : {"done", "cancelled"}) {
    const JobId job(id);
    const PartName part = PartOf(Rendering());
    for (const std::string& key : {cell_keys::JobIdEntry(job), cell_keys::Job(part, job),
                                   cell_keys::Cancel(part, job), cell_keys::Finished(part, job)}) {
      BOOST_TEST(Eventually([&] { return !store().Peek(key).has_value(); }), key << " is left");
    }
    BOOST_TEST(State(0, id) == "not_found");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
