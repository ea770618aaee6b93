#include <boost/test/unit_test.hpp>

#include "tests/cell/running_pool.h"

namespace pomelotray {
namespace {

// The longest time from the last extension of a lease to its end, with the drift of clocks.
constexpr absl::Duration kMaxLease = absl::Milliseconds(6540);
constexpr absl::Duration kStep = absl::Milliseconds(100);

const RosterEntry* Find(const std::vector<RosterEntry>& roster, const std::string& worker) {
  const auto entry = std::find_if(roster.begin(), roster.end(), [&worker](const auto& candidate) {
    return candidate.worker.id == WorkerId(worker);
  });
  return entry == roster.end() ? nullptr : &*entry;
}

// A long-running task whose worker is lost, and owners that take over one after the other.
class InheritedLeasesFixture {
 public:
  InheritedLeasesFixture() {
    pool_.AddWorkers(2, 1000);
    pool_.Add(Job());
    pool_.Run(absl::Seconds(2));
    lost_ = pool_.WorkerOf("j");
    other_ = lost_ == "w0" ? "w1" : "w0";
    lost_at_ = fixture().Now();
    pool_.running().erase(lost_);
    fixture().scheduler().HoldFailed(WorkerId(lost_), lost_at_);
  }

  SchedulerFixture& fixture() { return pool_.fixture(); }
  RunningPool& pool() { return pool_; }
  const std::string& lost() const { return lost_; }
  const std::string& other() const { return other_; }
  absl::Time lost_at() const { return lost_at_; }

  // The owner stores the roster now, as it is read back later.
  void StoreRoster() {
    const std::string text = EncodeRoster(fixture().scheduler().BuildRoster(fixture().Now()));
    roster_ = Capture([&text] { return DecodeRoster(text); }).value();
    fixture().SetRosterWritten(fixture().Now());
  }
  const std::vector<RosterEntry>& roster() const { return roster_; }
  // The next owner takes over with the stored roster. The other worker reports at once.
  void TakeOver() {
    fixture().TakeOver({Job()}, roster_);
    fixture().Report(other_, {});
    fixture().scheduler().ConfirmRoster({WorkerId(other_)});
  }
  // Returns when the task starts again.
  absl::Time RunUntilRestart() {
    const absl::Time end = fixture().Now() + 2 * kMaxLease;
    while (fixture().Now() < end) {
      fixture().Advance(kStep);
      fixture().Report(other_, {});
      if (!Starts(fixture().Round()).empty()) {
        return fixture().Now();
      }
    }
    return absl::InfiniteFuture();
  }

 private:
  static JobIntake Job() { return LongRunningJob("j", 1, 1000); }

  RunningPool pool_;
  std::string lost_;
  std::string other_;
  absl::Time lost_at_;
  std::vector<RosterEntry> roster_;
};

BOOST_AUTO_TEST_SUITE(InheritedLeasesTest)

// Guards against takeovers that begin the wait for the lease of a lost worker anew, each by a whole
// lease.
BOOST_AUTO_TEST_CASE(TakeoversInSeriesAddNoLease) {
  InheritedLeasesFixture run;
  run.fixture().Advance(absl::Seconds(1));
  for (int takeover = 0; takeover < 3; ++takeover) {
    run.StoreRoster();
    run.fixture().Advance(absl::Seconds(1));
    run.TakeOver();
  }
  const absl::Time restarted = run.RunUntilRestart();
  BOOST_TEST(restarted - run.lost_at() < kMaxLease + absl::Milliseconds(500));
}

// Guards against two runs of a task: a lease that may last must not count as over.
BOOST_AUTO_TEST_CASE(InheritedTaskWaitsForTheEndOfItsLease) {
  InheritedLeasesFixture run;
  run.fixture().Advance(absl::Seconds(1));
  run.StoreRoster();
  run.fixture().Advance(absl::Seconds(1));
  run.TakeOver();
  const absl::Time restarted = run.RunUntilRestart();
  // The last extension was at most one step of the pool before the loss.
  BOOST_TEST(restarted - run.lost_at() > kMaxLease - 2 * kStep);
}

// Guards against an owner that extends a lease although the stored roster says that it does not: a
// later owner would start the task a second time.
BOOST_AUTO_TEST_CASE(WithheldLeaseIsExtendedOnlyAfterTheRosterSaysSo) {
  InheritedLeasesFixture run;
  SchedulerFixture& fixture = run.fixture();
  fixture.Advance(absl::Seconds(1));
  run.StoreRoster();
  BOOST_REQUIRE(Find(run.roster(), run.lost()) != nullptr);
  BOOST_TEST(Find(run.roster(), run.lost())->lease_left.has_value());
  // The worker answers again.
  const WorkerId lost(run.lost());
  fixture.Report(run.lost(), {});
  BOOST_TEST(fixture.scheduler().NeedsRosterToExtendLease(lost));
  BOOST_TEST(!fixture.scheduler().ExtendLease(lost, fixture.Now()).has_value());
  // The next roster has no bound for it, but counts only once it is stored.
  const std::vector<RosterEntry> next = fixture.scheduler().BuildRoster(fixture.Now());
  BOOST_REQUIRE(Find(next, run.lost()) != nullptr);
  BOOST_TEST(!Find(next, run.lost())->lease_left.has_value());
  BOOST_TEST(!fixture.scheduler().ExtendLease(lost, fixture.Now()).has_value());
  fixture.scheduler().ConfirmRoster({lost});
  BOOST_TEST(fixture.scheduler().ExtendLease(lost, fixture.Now()).has_value());
}

// Guards against the same after a takeover: the next owner inherits the promise.
BOOST_AUTO_TEST_CASE(NextOwnerKeepsALeaseWithheld) {
  InheritedLeasesFixture run;
  run.fixture().Advance(absl::Seconds(1));
  run.StoreRoster();
  run.TakeOver();
  const WorkerId lost(run.lost());
  run.fixture().Report(run.lost(), {});
  BOOST_TEST(!run.fixture().scheduler().ExtendLease(lost, run.fixture().Now()).has_value());
  run.fixture().scheduler().ConfirmRoster({lost});
  BOOST_TEST(run.fixture().scheduler().ExtendLease(lost, run.fixture().Now()).has_value());
}

// Guards against a worker that no owner has heard of since a takeover and that still costs the next
// takeover a whole lease.
BOOST_AUTO_TEST_CASE(UnreportedWorkerIsBoundedInTheNextRoster) {
  InheritedLeasesFixture run;
  // The roster was stored before the loss was known.
  run.fixture().TakeOver({LongRunningJob("j", 1, 1000)},
                         std::vector<WorkerDescription>{SchedulerFixture::Worker("w0", 1000),
                                                        SchedulerFixture::Worker("w1", 1000)});
  run.fixture().Report(run.other(), {});
  run.fixture().Advance(absl::Seconds(2));
  run.StoreRoster();
  const RosterEntry* const entry = Find(run.roster(), run.lost());
  BOOST_REQUIRE(entry != nullptr);
  BOOST_TEST(!entry->unreachable);
  BOOST_REQUIRE(entry->lease_left.has_value());
  BOOST_TEST(*entry->lease_left < kMaxLease - absl::Seconds(2));
  BOOST_TEST(*entry->lease_left > kMaxLease - absl::Seconds(3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
