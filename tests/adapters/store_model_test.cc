#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>

#include "adapters/http_store.h"
#include "boost/test/unit_test.hpp"
#include "standins/store_standin.h"
#include "tests/adapters/standin_fixture.h"
#include "tests/pick.h"

namespace pomelotray {
namespace {

enum class Action { kCreate, kUpdate, kUpdateStale, kDelete, kDeleteStale, kGet, kList, kWatch };

// What the store must hold.
class StoreModel {
 public:
  struct Record {
    std::string value;
    int64_t revision;
  };

  int64_t RevisionOf(const std::string& key) const {
    const auto it = records_.find(key);
    return it == records_.end() ? 0 : it->second.revision;
  }
  void Put(const std::string& key, const std::string& value) {
    records_[key] = Record{value, ++revision_};
    changed_[key] = revision_;
  }
  void Delete(const std::string& key) {
    records_.erase(key);
    changed_[key] = ++revision_;
  }
  int64_t revision() const { return revision_; }
  const std::map<std::string, Record>& records() const { return records_; }
  const std::map<std::string, int64_t>& changed() const { return changed_; }

 private:
  int64_t revision_ = 0;
  std::map<std::string, Record> records_;
  std::map<std::string, int64_t> changed_;
};

// Applies random actions to the store behind HttpStore and to the model, and compares them.
class StoreComparison : StandinFixture {
 public:
  StoreComparison() {
    RC_ASSERT(standin_.Start(0));
    store_ =
        HttpStore::Builder().SetAddress(standin_.address()).SetCallTimeout(kLongTimeout).Build();
  }

  void Apply(Action action, const std::string& key, const std::string& value, int64_t after) {
    switch (action) {
      case Action::kCreate:
        return Put(key, value, 0);
      case Action::kUpdate:
        return Put(key, value, model_.RevisionOf(key));
      case Action::kUpdateStale:
        return Put(key, value, model_.RevisionOf(key) + 1);
      case Action::kDelete:
        return Delete(key, model_.RevisionOf(key));
      case Action::kDeleteStale:
        return Delete(key, model_.RevisionOf(key) + 1);
      case Action::kGet:
        return Get(key);
      case Action::kList:
        return List(key.substr(0, 1));
      case Action::kWatch:
        return Watch(key.substr(0, 1), after);
    }
  }

 private:
  void Put(const std::string& key, const std::string& value, int64_t expected) {
    const bool wins = expected == model_.RevisionOf(key);
    const Outcome<Revision> outcome =
        Capture([&] { return store_->CompareAndSwap(key, Revision(expected), value); });
    RC_ASSERT(outcome.ok() == wins);
    if (wins) {
      model_.Put(key, value);
      RC_ASSERT(outcome.value().value() == model_.revision());
    } else {
      RC_ASSERT(outcome.error().kind == ErrorKind::kConflict);
    }
  }

  void Delete(const std::string& key, int64_t expected) {
    const bool wins = expected != 0 && expected == model_.RevisionOf(key);
    const Outcome<void> outcome = Capture([&] { return store_->Delete(key, Revision(expected)); });
    RC_ASSERT(outcome.ok() == wins);
    if (wins) {
      model_.Delete(key);
    }
  }

  void Get(const std::string& key) {
    const Outcome<std::optional<StoreEntry>> outcome = Capture([&] { return store_->Get(key); });
    RC_ASSERT(outcome.ok());
    RC_ASSERT(outcome.value().has_value() == (model_.records().count(key) > 0));
    if (outcome.value().has_value()) {
      Compare(*outcome.value());
    }
  }

  void List(const std::string& prefix) {
    const Outcome<std::vector<StoreEntry>> outcome = Capture([&] { return store_->List(prefix); });
    RC_ASSERT(outcome.ok());
    size_t expected = 0;
    for (const auto& [key, record] : model_.records()) {
      expected += key.rfind(prefix, 0) == 0 ? 1 : 0;
    }
    RC_ASSERT(outcome.value().size() == expected);
    for (const StoreEntry& entry : outcome.value()) {
      Compare(entry);
    }
  }

  void Watch(const std::string& prefix, int64_t after) {
    const Outcome<WatchBatch> outcome =
        Capture([&] { return store_->Watch(prefix, Revision(after), absl::ZeroDuration()); });
    RC_ASSERT(outcome.ok());
    const WatchBatch& batch = outcome.value();
    size_t expected = 0;
    for (const auto& [key, revision] : model_.changed()) {
      expected += key.rfind(prefix, 0) == 0 && revision > after ? 1 : 0;
    }
    RC_ASSERT(batch.changed.size() + batch.deleted.size() == expected);
    int64_t last = after;
    for (const StoreEntry& entry : batch.changed) {
      Compare(entry);
      RC_ASSERT(entry.revision.value() > last);
      last = entry.revision.value();
    }
    for (const std::string& key : batch.deleted) {
      RC_ASSERT(model_.RevisionOf(key) == 0);
    }
    RC_ASSERT(batch.next.value() == std::max(after, model_.revision()));
  }

  void Compare(const StoreEntry& entry) {
    const StoreModel::Record& record = model_.records().at(entry.key);
    RC_ASSERT(entry.value == record.value);
    RC_ASSERT(entry.revision.value() == record.revision);
  }

  StoreStandin standin_{&clock, &hybrid_clock};
  std::unique_ptr<HttpStore> store_;
  StoreModel model_;
};

BOOST_AUTO_TEST_SUITE(StoreModelTest)

// Guards against compare-and-swap, deletions, lists or watches that differ from a plain map with a
// counter, over random sequences of calls.
BOOST_AUTO_TEST_CASE(StoreBehavesLikeAMapWithRevisions) {
  BOOST_TEST(rc::check([] {
    StoreComparison comparison;
    const int steps = Pick(1, 30);
    for (int i = 0; i < steps; ++i) {
      const Action action = static_cast<Action>(Pick(0, 8));
      const std::string key = *rc::gen::element<std::string>("a/1", "a/2", "b/1");
      const std::string value = *rc::gen::arbitrary<std::string>();
      comparison.Apply(action, key, value, Pick<int64_t>(0, 20));
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
