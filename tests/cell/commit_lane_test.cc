#include "cell/commit_lane.h"

#include <boost/test/unit_test.hpp>

#include "base/manual_clock.h"
#include "cell/cell_keys.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {
namespace {

const PartName kPool("rendering.0.1");

ProgressRecord Record(const std::string& job, const std::string& text) {
  ProgressRecord record;
  record.job = JobId(job);
  record.text = text;
  return record;
}

// A claimed pool on a fake store.
struct Claimed {
  Claimed() {
    claim.part = kPool;
    claim.term = 1;
    claim.revision = store.Put(cell_keys::Claim(kPool), "owner");
  }
  std::string Stored(const std::string& job) {
    return store.Peek(cell_keys::Progress(kPool, JobId(job)))->value;
  }

  ManualClock clock;
  FakeStore store{&clock};
  PartClaim claim;
};

BOOST_AUTO_TEST_SUITE(CommitLaneTest)

// Guards against storing twice, or not at all, when the answer to a transaction is lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByTheLanesEntry) {
  Claimed pool;
  CommitLane lane(&pool.store, pool.claim, 0, std::nullopt);
  pool.store.SetHook([](const FakeStore::Call&) { return StoreFault::kAnswerLost; });
  BOOST_TEST((lane.Store({Record("a", "1")}) == LaneOutcome::kPending));
  pool.store.SetHook(nullptr);
  BOOST_TEST((lane.Resume() == LaneOutcome::kStored));
  BOOST_TEST(pool.Stored("a") == "1");
  BOOST_TEST((lane.Store({Record("a", "2")}) == LaneOutcome::kStored));
  BOOST_TEST(pool.Stored("a") == "2");
}

// Guards against old progress that comes back: a transaction that the store carries out seconds
// later must not undo a later one.
BOOST_AUTO_TEST_CASE(LateTransactionCannotUndoALaterOne) {
  Claimed pool;
  CommitLane lane(&pool.store, pool.claim, 0, std::nullopt);
  // The same transaction again, as the store would carry it out late.
  StoreTransaction late;
  late.conditions = {StoreCondition{cell_keys::Claim(kPool), pool.claim.revision},
                     StoreCondition{CommitLane::Key(kPool, 0), Revision(0)}};
  late.writes = {StoreWrite{cell_keys::Progress(kPool, JobId("a")), "1", std::nullopt}};
  BOOST_TEST((lane.Store({Record("a", "1")}) == LaneOutcome::kStored));
  BOOST_TEST((lane.Store({Record("a", "2")}) == LaneOutcome::kStored));
  BOOST_TEST(!Capture([&] { return pool.store.Commit(late); }).ok());
  BOOST_TEST(pool.Stored("a") == "2");
}

// Guards against a takeover that reads every job of the day (work that grows with history): a final
// state takes the place of the job, its progress and its cancellation.
BOOST_AUTO_TEST_CASE(FinalStateReplacesTheJobsEntries) {
  Claimed pool;
  const JobId job("a");
  pool.store.Put(cell_keys::Job(kPool, job), "description");
  pool.store.Put(cell_keys::Cancel(kPool, job), "1");
  CommitLane lane(&pool.store, pool.claim, 0, std::nullopt);
  BOOST_TEST((lane.Store({Record("a", "1")}) == LaneOutcome::kStored));
  ProgressRecord last = Record("a", "2");
  last.state = CellJobState::kCancelled;
  last.has_stored_progress = true;
  last.has_stored_cancel = true;
  BOOST_TEST((lane.Store({last}) == LaneOutcome::kStored));
  BOOST_TEST(pool.store.Peek(cell_keys::Finished(kPool, job))->value == "2");
  BOOST_TEST(!pool.store.Peek(cell_keys::Job(kPool, job)).has_value());
  BOOST_TEST(!pool.store.Peek(cell_keys::Progress(kPool, job)).has_value());
  BOOST_TEST(!pool.store.Peek(cell_keys::Cancel(kPool, job)).has_value());
}

// Guards against writes of a deposed owner.
BOOST_AUTO_TEST_CASE(DeposedOwnerStoresNothing) {
  Claimed pool;
  CommitLane lane(&pool.store, pool.claim, 0, std::nullopt);
  pool.store.Put(cell_keys::Claim(kPool), "another owner");
  BOOST_TEST((lane.Store({Record("a", "1")}) == LaneOutcome::kDeposed));
  BOOST_TEST(!pool.store.Peek(cell_keys::Progress(kPool, JobId("a"))).has_value());
}

// The next owner's lane continues from the entry that the last one left.
BOOST_AUTO_TEST_CASE(NextOwnerContinuesTheLane) {
  Claimed pool;
  CommitLane first(&pool.store, pool.claim, 0, std::nullopt);
  BOOST_TEST((first.Store({Record("a", "1")}) == LaneOutcome::kStored));
  pool.claim.revision = pool.store.Put(cell_keys::Claim(kPool), "next owner");
  pool.claim.term = 2;
  CommitLane next(&pool.store, pool.claim, 0, pool.store.Peek(CommitLane::Key(kPool, 0)));
  BOOST_TEST((next.Store({Record("a", "2")}) == LaneOutcome::kStored));
  BOOST_TEST((first.Store({Record("a", "3")}) == LaneOutcome::kDeposed));
  BOOST_TEST(pool.Stored("a") == "2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
