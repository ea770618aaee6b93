#include "state/journal.h"

#include <set>
#include <string>
#include <thread>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

const ShardId kShard{FailureDomainId("cuenca"), PoolName("rendering")};

JournalRecord Job(const std::string& key) {
  JobRecord job;
  job.id = MakeJobId(kShard, CustomerId("c"), IdempotencyKey(key));
  job.spec.key = IdempotencyKey(key);
  return JobUpsert{job};
}

struct JournalFixture : StateFixture {
  // Recovers the journal as an owner with this term and returns the idempotency keys of its jobs.
  std::set<std::string> RecoverKeys(int64_t term) {
    Journal journal(Context(), kShard, InstanceId("reader"), term);
    const Outcome<std::vector<JobRecord>> jobs = Capture([&] { return journal.Recover(); });
    std::set<std::string> keys;
    for (const JobRecord& job : jobs.value()) {
      keys.insert(job.spec.key.value());
    }
    return keys;
  }
  bool BecomesDurable(Journal* journal, uint64_t sequence) {
    return AdvanceUntil([&] { return journal->durable_sequence() >= sequence; }) &&
           journal->AwaitDurable(sequence, clock.Now()).ok();
  }
};

std::set<std::string> Keys(std::initializer_list<std::string> keys) { return keys; }

BOOST_FIXTURE_TEST_SUITE(JournalTest, JournalFixture)

// Guards against one store write per record, and against batches that follow each other faster than
// the commit interval.
BOOST_AUTO_TEST_CASE(OneWriteCarriesAllWaitingRecords) {
  Journal journal(Context(), kShard, InstanceId("a"), 1);
  BOOST_TEST_REQUIRE(Capture([&] { return journal.Recover(); }).ok());
  const int64_t before = store.Calls("swap");
  std::vector<std::thread> writers;
  writers.reserve(4);
  for (int writer = 0; writer < 4; ++writer) {
    writers.emplace_back([&journal, writer] {
      for (int i = 0; i < 250; ++i) {
        journal.Append(Job(std::to_string(writer) + "-" + std::to_string(i)));
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  BOOST_TEST(BecomesDurable(&journal, 1000));
  // The first batch may contain only the first record, since the others may arrive after its write
  // has started.
  BOOST_TEST(store.Calls("swap") - before <= 3);
  BOOST_TEST(journal.pending_bytes() == 0U);
  journal.Stop();
  BOOST_TEST(RecoverKeys(2).size() == 1000U);
}

// Guards against a job that is reported as refused but is in the store: a withdrawn record must
// never be written, and a record that may be in the store cannot be withdrawn.
BOOST_AUTO_TEST_CASE(OnlyUnwrittenRecordsCanBeWithdrawn) {
  Journal journal(Context(), kShard, InstanceId("a"), 1);
  BOOST_TEST_REQUIRE(Capture([&] { return journal.Recover(); }).ok());
  store.SetDown(true);
  const uint64_t refused = journal.Append(Job("refused"));
  const uint64_t kept = journal.Append(Job("kept"));
  AdvanceBy(absl::Seconds(1));
  const Outcome<void> waited = journal.AwaitDurable(refused, clock.Now());
  BOOST_TEST((waited.error().kind == ErrorKind::kStoreUnavailable));
  bool withdrawn = false;
  // The record cannot be withdrawn during a write attempt. After a failed attempt the writer thread
  // moves it back to the queue.
  BOOST_TEST(AdvanceUntil([&] { return withdrawn = journal.Withdraw(refused); }));
  BOOST_TEST(
      (journal.AwaitDurable(refused, clock.Now()).error().kind == ErrorKind::kStoreUnavailable));
  store.SetDown(false);
  BOOST_TEST(BecomesDurable(&journal, kept));
  BOOST_TEST(!journal.Withdraw(kept));

  store.SetHook([](const FakeStore::Call& call) {
    return call.kind == "swap" ? StoreFault::kRequestLost : StoreFault::kDown;
  });
  const uint64_t uncertain = journal.Append(Job("uncertain"));
  AdvanceBy(absl::Seconds(1));
  BOOST_TEST(
      (journal.AwaitDurable(uncertain, clock.Now()).error().kind == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(!journal.Withdraw(uncertain));
  store.SetHook(nullptr);
  BOOST_TEST(BecomesDurable(&journal, uncertain));
  journal.Stop();
  BOOST_TEST(RecoverKeys(2) == Keys({"kept", "uncertain"}));
}

// Guards against an owner that acknowledges records after it was deposed.
BOOST_AUTO_TEST_CASE(DeposedOwnerAcknowledgesNothing) {
  Journal journal(Context(), kShard, InstanceId("a"), 1);
  BOOST_TEST_REQUIRE(Capture([&] { return journal.Recover(); }).ok());
  const uint64_t first = journal.Append(Job("first"));
  BOOST_TEST(BecomesDurable(&journal, first));
  BOOST_TEST(RecoverKeys(2) == Keys({"first"}));
  const uint64_t late = journal.Append(Job("late"));
  BOOST_TEST(AdvanceUntil([&] { return journal.deposed(); }));
  BOOST_TEST((journal.AwaitDurable(late, clock.Now() + absl::Seconds(1)).error().kind ==
              ErrorKind::kFenced));
  BOOST_TEST(journal.AwaitDurable(first, clock.Now()).ok());
  BOOST_TEST(RecoverKeys(3) == Keys({"first"}));
  Journal stale(Context(), kShard, InstanceId("a"), 2);
  BOOST_TEST((Capture([&] { return stale.Recover(); }).error().kind == ErrorKind::kFenced));
}

// Guards against unbounded memory use during a store outage.
BOOST_AUTO_TEST_CASE(FullJournalRefusesAtOnce) {
  JournalOptions options;
  options.max_pending_records = 10;
  Journal journal(Context(), kShard, InstanceId("a"), 1, options);
  BOOST_TEST_REQUIRE(Capture([&] { return journal.Recover(); }).ok());
  store.SetDown(true);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(journal.Append(Job(std::to_string(i))) != kRefusedRecord);
  }
  BOOST_TEST(journal.IsFull());
  const uint64_t refused = journal.Append(Job("refused"));
  BOOST_TEST(refused == kRefusedRecord);
  BOOST_TEST((journal.AwaitDurable(refused, absl::InfiniteFuture()).error().kind ==
              ErrorKind::kStoreUnavailable));
  store.SetDown(false);
  BOOST_TEST(BecomesDurable(&journal, 10));
  BOOST_TEST(!journal.IsFull());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
