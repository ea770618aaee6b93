#include "state/configuration_cache.h"

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json_text.h"
#include "boost/test/unit_test.hpp"
#include "model/contract_codec.h"
#include "tests/model/model_generators.h"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

Contract ContractWithMaxJobs(int64_t max_jobs) {
  Contract contract = ExampleContract();
  contract.max_jobs = max_jobs;
  return contract;
}

std::string StoreKey(const Contract& contract) { return "contracts/" + contract.customer.value(); }

BOOST_AUTO_TEST_SUITE(ConfigurationCacheTest)

// Guards against a contract that reverts to an older revision on some instance, and against two
// successful updates of the same revision. Three instances apply, load and pull contracts in random
// order while store calls fail, responses are lost and a concurrent update runs before a write
// takes effect.
BOOST_AUTO_TEST_CASE(NeverGoesBackAndOneOperatorWins) {
  BOOST_TEST(rc::check("configuration", [] {
    StateFixture fixture;
    bool revision_decreased = false;
    std::vector<std::map<CustomerId, Revision>> last_revisions(3);
    std::vector<std::unique_ptr<ConfigurationCache>> caches;
    for (size_t i = 0; i < last_revisions.size(); ++i) {
      caches.push_back(std::make_unique<ConfigurationCache>(
          fixture.Context(), [] { return false; },
          [&, i](const CustomerId& customer, const std::optional<Contract>& contract) {
            if (contract.has_value()) {
              revision_decreased =
                  revision_decreased || !(contract->revision > last_revisions[i][customer]);
              last_revisions[i][customer] = contract->revision;
            }
          }));
    }
    StoreFaultSequence script(*rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000)));
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 100'000));
    std::map<Revision, int> successful_updates;
    const auto apply = [&](size_t cache, int64_t jobs) {
      const std::optional<Contract> known = caches[cache]->Find(ExampleContract().customer);
      const Revision expected = known.has_value() ? known->revision : Revision(0);
      if (Capture([&] { return caches[cache]->Apply(ContractWithMaxJobs(jobs), expected); }).ok()) {
        ++successful_updates[expected];
      }
    };
    bool nested = false;
    int64_t jobs = 0;
    fixture.store.SetHook([&](const FakeStore::Call& call) {
      if (!nested && call.kind == "swap" && ++jobs % 2 == 0) {
        nested = true;
        const size_t operator_index = jobs % 3;
        apply(operator_index, ++jobs);
        nested = false;
      }
      return script.Next();
    });
    for (const int step : steps) {
      ConfigurationCache& cache = *caches[step % 3];
      ConfigurationCache& peer = *caches[(step / 3) % 3];
      switch ((step / 9) % 4) {
        case 0:
          apply(step % 3, ++jobs);
          break;
        case 1:
          Capture([&] { return cache.Load(); });
          break;
        case 2:
          RC_ASSERT(Capture([&] {
                      return cache.MergeEntries(peer.EntriesAfter(cache.revision()));
                    }).ok());
          break;
        default:
          // Models a peer's response that was delayed or repeated.
          RC_ASSERT(
              Capture([&] { return cache.MergeEntries(peer.EntriesAfter(Revision(0))); }).ok());
      }
    }
    fixture.store.SetHook(nullptr);
    RC_ASSERT(!revision_decreased);
    for (const auto& [revision, count] : successful_updates) {
      RC_ASSERT(count == 1);
    }
    const std::optional<StoreEntry> stored = fixture.store.Peek(StoreKey(ExampleContract()));
    for (const std::unique_ptr<ConfigurationCache>& cache : caches) {
      RC_ASSERT(Capture([&] { return cache->Load(); }).ok());
      const std::optional<Contract> contract = cache->Find(ExampleContract().customer);
      RC_ASSERT(contract.has_value() == stored.has_value());
      RC_ASSERT(!stored.has_value() || contract->revision == stored->revision);
    }
  }));
}

// Guards against a conflict error that does not name the current revision of the contract.
BOOST_AUTO_TEST_CASE(ConflictNamesThePresentRevision) {
  StateFixture fixture;
  ConfigurationCache cache(fixture.Context(), [] { return false; });
  const Outcome<Contract> first =
      Capture([&] { return cache.Apply(ContractWithMaxJobs(1), Revision(0)); });
  BOOST_TEST(first.value().revision == Revision(1));
  const Outcome<Contract> second =
      Capture([&] { return cache.Apply(ContractWithMaxJobs(2), Revision(0)); });
  BOOST_TEST((second.error().kind == ErrorKind::kConflict));
  BOOST_TEST(second.error().message == "Contract " + ExampleContract().customer.value() +
                                           " has revision 1, not 0; read it and apply the change "
                                           "again.");
  BOOST_TEST(cache.Find(ExampleContract().customer)->max_jobs == 1);
}

// Guards against a deleted contract that reappears when entries of a peer with an older cache are
// merged, and against a stored value that cannot be parsed and replaces the contract in force.
BOOST_AUTO_TEST_CASE(WatchFollowsTheStoreAndIgnoresInvalidBytes) {
  StateFixture fixture;
  const CustomerId customer = ExampleContract().customer;
  const std::string key = StoreKey(ExampleContract());
  std::atomic<bool> is_watcher{false};
  ConfigurationCache cache(fixture.Context(), [&] { return is_watcher.load(); });
  ConfigurationCache stale_peer(fixture.Context(), [] { return false; });
  fixture.store.Put(key, DumpJson(ContractToJson(ContractWithMaxJobs(1))));
  cache.Start();
  BOOST_TEST(fixture.AdvanceUntil([&] { return cache.Ready(); }));
  BOOST_TEST(Capture([&] { return stale_peer.Load(); }).ok());
  fixture.store.Put(key, DumpJson(ContractToJson(ContractWithMaxJobs(2))));
  fixture.AdvanceBy(absl::Seconds(1));
  BOOST_TEST(cache.Find(customer)->max_jobs == 1);
  is_watcher = true;
  BOOST_TEST(fixture.AdvanceUntil([&] { return cache.Find(customer)->max_jobs == 2; }));
  const Revision invalid_revision = fixture.store.Put(key, "{\"customer\": 7}");
  BOOST_TEST(fixture.AdvanceUntil([&] { return cache.revision() == invalid_revision; }));
  BOOST_TEST(cache.Find(customer)->max_jobs == 2);
  fixture.store.Remove(key);
  BOOST_TEST(fixture.AdvanceUntil([&] { return !cache.Find(customer).has_value(); }));
  BOOST_TEST(
      Capture([&] { return cache.MergeEntries(stale_peer.EntriesAfter(Revision(0))); }).ok());
  BOOST_TEST(!cache.Find(customer).has_value());
  BOOST_TEST(Capture([&] {
               return stale_peer.MergeEntries(cache.EntriesAfter(stale_peer.revision()));
             }).ok());
  BOOST_TEST(!stale_peer.Find(customer).has_value());
  BOOST_TEST(stale_peer.revision() == cache.revision());
  fixture.store.SetDown(true);
  cache.Stop();
}

// Guards against an instance that reports ready after it has read only a part of the contracts,
// from a peer that is not ready or that was asked only for later changes.
BOOST_AUTO_TEST_CASE(ReadyOnlyAfterAWholeCache) {
  StateFixture fixture;
  fixture.store.Put(StoreKey(ExampleContract()), DumpJson(ContractToJson(ContractWithMaxJobs(1))));
  ConfigurationCache full(fixture.Context(), [] { return false; });
  BOOST_TEST(Capture([&] { return full.Load(); }).ok());
  ConfigurationCache fresh(fixture.Context(), [] { return false; });
  const auto merge = [&](const nlohmann::json& entries) {
    return Capture([&] { return fresh.MergeEntries(entries); }).ok();
  };
  ConfigurationCache empty(fixture.Context(), [] { return false; });
  BOOST_TEST(merge(empty.EntriesAfter(Revision(0))));
  BOOST_TEST(!fresh.Ready());
  BOOST_TEST(merge(full.EntriesAfter(full.revision())));
  BOOST_TEST(!fresh.Ready());
  BOOST_TEST(!merge({{"entries", 1}}));
  BOOST_TEST(merge(full.EntriesAfter(Revision(0))));
  BOOST_TEST(fresh.Ready());
  BOOST_TEST(fresh.All().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
