#include "state/journal_storage.h"

#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/job_codec.h"
#include "tests/model/model_generators.h"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

const ShardId kShard{FailureDomainId("cuenca"), PoolName("rendering")};

// An owner that writes one job per batch and keeps track of the jobs that were acknowledged.
class Owner {
 public:
  Owner(StateFixture* fixture, const std::string& id, int64_t term, size_t payload_bytes = 10)
      : storage_(fixture->Context(), kShard, InstanceId(id), term),
        id_(id),
        payload_(payload_bytes, 'x') {}

  bool Recover() {
    const Outcome<std::vector<JobRecord>> jobs = Capture([&] { return storage_.Recover(); });
    if (jobs.ok()) {
      for (const JobRecord& job : jobs.value()) {
        recovered_.insert(job.id);
      }
    }
    recovered_ok_ = jobs.ok();
    return jobs.ok();
  }

  // Writes or retries one batch in the same way as the writer thread of Journal.
  void Step() {
    if (!recovered_ok_ || fenced_) {
      return;
    }
    if (storage_.RingFull() && !Try([&] { return storage_.WriteSnapshot(); })) {
      return;
    }
    if (!storage_.BatchOutcomeUnknown()) {
      job_.id = MakeJobId(kShard, CustomerId("c"), IdempotencyKey(id_ + std::to_string(++count_)));
      job_.spec.payload = payload_;
    }
    if (!Try([&] { return storage_.WriteBatch({EncodeRecord(kShard, JobUpsert{job_})}); })) {
      if (!storage_.BatchOutcomeUnknown()) {
        refused_.insert(job_.id);
      }
      return;
    }
    acknowledged_.insert(job_.id);
    storage_.Apply(JobUpsert{job_});
    if (storage_.SnapshotDue()) {
      Try([&] { return storage_.WriteSnapshot(); });
    }
  }

  bool fenced() const { return fenced_; }
  const std::set<JobId>& acknowledged() const { return acknowledged_; }
  // Jobs whose write failed without effect, so that they cannot be in the journal.
  const std::set<JobId>& refused() const { return refused_; }
  const std::set<JobId>& recovered() const { return recovered_; }

 private:
  template <typename F>
  bool Try(F operation) {
    const Outcome<void> outcome = Capture(operation);
    if (!outcome.ok() && outcome.error().kind == ErrorKind::kFenced) {
      fenced_ = true;
    }
    return outcome.ok();
  }

  JournalStorage storage_;
  const std::string id_;
  const std::string payload_;
  JobRecord job_;
  int count_ = 0;
  bool recovered_ok_ = false;
  bool fenced_ = false;
  std::set<JobId> acknowledged_;
  std::set<JobId> refused_;
  std::set<JobId> recovered_;
};

bool Contains(const std::set<JobId>& all, const std::set<JobId>& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

bool Disjoint(const std::set<JobId>& a, const std::set<JobId>& b) {
  return std::none_of(a.begin(), a.end(), [&b](const JobId& id) { return b.count(id) > 0; });
}

BOOST_AUTO_TEST_SUITE(JournalStorageTest)

// Guards against a record that changes when it is encoded and decoded, for example because a new
// field was not added to the codec.
BOOST_AUTO_TEST_CASE(RecordsSurviveTheCodec) {
  BOOST_TEST(rc::check("journal codec", [] {
    JobRecord job = *GenJobRecord();
    const Outcome<JournalRecord> decoded =
        Capture([&] { return DecodeRecord(kShard, EncodeRecord(kShard, JobUpsert{job})); });
    RC_ASSERT(decoded.ok());
    RC_ASSERT(DumpJson(JobRecordToJson(std::get<JobUpsert>(decoded.value()).job)) ==
              DumpJson(JobRecordToJson(job)));
    job.id = MakeJobId(kShard, job.spec.customer, job.spec.key);
    TaskUpdate update;
    update.job = job.id;
    update.status.task = MakeTaskId(job.id, 3);
    update.job_state = JobState::kRunning;
    update.reason = "a reason";
    update.started_at = job.accepted_at;
    const std::string bytes = EncodeRecord(kShard, update);
    RC_ASSERT(bytes.size() < 60U);
    const Outcome<JournalRecord> again = Capture([&] { return DecodeRecord(kShard, bytes); });
    const TaskUpdate& read = std::get<TaskUpdate>(again.value());
    RC_ASSERT(read.job == job.id && read.status.task == update.status.task);
    RC_ASSERT(read.reason == update.reason && read.started_at == update.started_at);
    RC_ASSERT(!read.finished_at.has_value());
  }));
}

// Guards against a crash or an endless loop when the store contains malformed data.
BOOST_AUTO_TEST_CASE(MalformedBytesAreAnError) {
  BOOST_TEST(rc::check("malformed journal", [] {
    std::string bytes = EncodeRecord(kShard, JobUpsert{*GenJobRecord()});
    const size_t cut = *rc::gen::inRange<size_t>(0, bytes.size());
    RC_ASSERT(!Capture([&] { return DecodeRecord(kShard, bytes.substr(0, cut)); }).ok());
    RC_ASSERT(!Capture([&] { return DecodeBatch(bytes); }).ok());
    bytes[cut] = static_cast<char>(*rc::gen::inRange(0, 256));
    Capture([&] { return DecodeRecord(kShard, bytes); });
  }));
}

// Guards against the loss of an acknowledged record, and against an acknowledgement to a deposed
// owner. Two owners write to one journal concurrently, and any store call may fail or lose its
// response.
BOOST_AUTO_TEST_CASE(RacingOwnersLoseNoAcknowledgedRecord) {
  BOOST_TEST(rc::check("racing owners", [] {
    StateFixture fixture;
    Owner old_owner(&fixture, "old", 1);
    Owner new_owner(&fixture, "new", 2);
    RC_ASSERT(old_owner.Recover());
    StoreFaultSequence script(
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1000)));
    const auto steps = *rc::gen::container<std::vector<int>>(250, rc::gen::inRange(0, 1000));
    const int takeover = *rc::gen::inRange(1, 150);
    bool nested = false;
    int recovering = 0;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      // Let the old owner write between any two store calls of the new owner's recovery.
      if (recovering > 0 && !nested) {
        nested = true;
        for (int i = 0; i < steps[recovering++ % steps.size()] % 3; ++i) {
          old_owner.Step();
        }
        nested = false;
      }
      return script.Next();
    });
    bool taken = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      if (!taken && static_cast<int>(i) >= takeover) {
        recovering = 1;
        taken = new_owner.Recover();
        recovering = 0;
        continue;
      }
      (steps[i] % 2 == 0 ? old_owner : new_owner).Step();
    }
    fixture.store.SetHook(nullptr);
    Owner last(&fixture, "last", 3);
    RC_ASSERT(last.Recover());
    RC_ASSERT(Contains(last.recovered(), old_owner.acknowledged()));
    RC_ASSERT(Contains(last.recovered(), new_owner.acknowledged()));
    RC_ASSERT(Disjoint(last.recovered(), old_owner.refused()));
    RC_ASSERT(Disjoint(last.recovered(), new_owner.refused()));
    if (taken) {
      // The new owner has recovered every record that the old owner acknowledged at any time.
      RC_ASSERT(Contains(new_owner.recovered(), old_owner.acknowledged()));
    }
  }));
}

// Guards against the loss of records when the writer crashes while writing a snapshot. The writer
// fails at each of its store calls in turn, both with and without the call taking effect.
BOOST_AUTO_TEST_CASE(CrashAtEachPointOfASnapshotLosesNothing) {
  for (const StoreFault fault : {StoreFault::kDown, StoreFault::kAnswerLost}) {
    bool crashed = true;
    for (int point = 0; crashed; ++point) {
      StateFixture fixture;
      // A snapshot of 33 jobs of 60 kB each has three parts.
      Owner first(&fixture, "first", 1, 60'000);
      BOOST_TEST_REQUIRE(first.Recover());
      for (int i = 0; i < 62; ++i) {
        first.Step();
      }
      int calls = 0;
      fixture.store.SetHook([&](const FakeStore::Call&) {
        ++calls;
        if (calls <= point) {
          return StoreFault::kNone;
        }
        return calls == point + 1 ? fault : StoreFault::kDown;
      });
      for (int i = 0; i < 3; ++i) {
        first.Step();
      }
      crashed = calls > point;
      fixture.store.SetHook(nullptr);
      Owner second(&fixture, "second", 2, 60'000);
      BOOST_TEST_REQUIRE(second.Recover());
      BOOST_TEST(Contains(second.recovered(), first.acknowledged()));
      for (int i = 0; i < 70; ++i) {
        second.Step();
      }
      first.Step();
      BOOST_TEST(first.fenced());
      Owner third(&fixture, "third", 3);
      BOOST_TEST_REQUIRE(third.Recover());
      BOOST_TEST(Contains(third.recovered(), first.acknowledged()));
      BOOST_TEST(Contains(third.recovered(), second.acknowledged()));
      BOOST_TEST_REQUIRE(point < 100);
    }
  }
}

// Guards against a deposed owner that replaces its successor's snapshot, after being paused before
// it wrote the manifest of its own snapshot.
BOOST_AUTO_TEST_CASE(DelayedSnapshotOfDeposedOwnerIsRejected) {
  // The paused step makes five store calls: one batch, three snapshot parts and the manifest.
  for (int pause = 0; pause < 7; ++pause) {
    StateFixture fixture;
    Owner first(&fixture, "first", 1, 60'000);
    Owner second(&fixture, "second", 2, 60'000);
    BOOST_TEST_REQUIRE(first.Recover());
    // Together with the recovery's barrier batch, this makes 31 batches.
    for (int i = 0; i < 30; ++i) {
      first.Step();
    }
    int calls = -1;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      if (calls >= 0 && calls++ == pause) {
        calls = -1;
        BOOST_TEST(second.Recover());
        for (int i = 0; i < 40; ++i) {
          second.Step();
        }
      }
      return StoreFault::kNone;
    });
    calls = 0;
    first.Step();
    first.Step();
    first.Step();
    fixture.store.SetHook(nullptr);
    BOOST_TEST_REQUIRE(calls == -1);
    BOOST_TEST(first.fenced());
    Owner third(&fixture, "third", 3);
    BOOST_TEST_REQUIRE(third.Recover());
    BOOST_TEST(Contains(third.recovered(), first.acknowledged()));
    BOOST_TEST(Contains(third.recovered(), second.acknowledged()));
    BOOST_TEST(Contains(second.recovered(), first.acknowledged()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
