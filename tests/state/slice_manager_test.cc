#include "state/slice_manager.h"

#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "tests/model/model_generators.h"
#include "tests/state/state_fixture.h"

namespace pomelotray {
namespace {

constexpr int64_t kCap = 64;

Contract MakeContract(int64_t revision, int64_t cap) {
  Contract contract = ExampleContract();
  contract.customer = CustomerId("c");
  contract.revision = Revision(revision);
  contract.hold = Resources{MilliCores(cap), MebiBytes(cap), AcceleratorCount(cap), SlotCount(cap)};
  contract.max_jobs = cap;
  contract.rate_per_second = static_cast<double>(cap);
  contract.burst = cap;
  contract.pools = {PoolName("rendering")};
  contract.home_domains = {FailureDomainId("d0"), FailureDomainId("d1"), FailureDomainId("d2")};
  return contract;
}

// Simulates an instance that owns one shard and starts work within its limit.
class SimulatedInstance {
 public:
  SimulatedInstance(StateFixture* fixture, int index)
      : shard_{FailureDomainId("d" + std::to_string(index)), PoolName("rendering")},
        contract_(MakeContract(1, kCap)),
        manager_(fixture->Context(), [this] { return std::vector<Contract>{contract_}; }) {
    manager_.SetOwnedShards({{shard_, 1}});
  }

  SliceManager& manager() { return manager_; }
  void SetContract(const Contract& contract) { contract_ = contract; }
  int64_t Limit() const { return manager_.Limit(CustomerId("c"), shard_).resources.cpu.value(); }
  int64_t used() const { return used_; }
  // Returns the most that may be in use now, including work that the limit allows to start.
  int64_t MaxUse() const { return std::max(used_, Limit()); }

  // Starts or ends work and reports the demand. `wanted` includes waiting work.
  void Work(int64_t wanted) {
    wanted_ = wanted;
    used_ = std::min(wanted, std::max(used_, Limit()));
    Report();
  }
  void Report() {
    const SliceDemand in_use = MakeDemand(used_);
    manager_.ReportDemand(CustomerId("c"), shard_, in_use, MakeDemand(wanted_));
  }

 private:
  static SliceDemand MakeDemand(int64_t amount) {
    return SliceDemand{Resources{MilliCores(amount), MebiBytes(amount), AcceleratorCount(amount),
                                 SlotCount(amount)},
                       static_cast<double>(amount), amount};
  }

  const ShardId shard_;
  Contract contract_;
  SliceManager manager_;
  int64_t used_ = 0;
  int64_t wanted_ = 0;
};

struct SliceFixture : StateFixture {
  std::vector<std::unique_ptr<SimulatedInstance>> instances;

  SliceFixture() {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<SimulatedInstance>(this, i));
    }
  }
  int64_t TotalMaxUse() const {
    return std::accumulate(instances.begin(), instances.end(), int64_t{0},
                           [](int64_t sum, const std::unique_ptr<SimulatedInstance>& instance) {
                             return sum + instance->MaxUse();
                           });
  }
  void RunRounds(int count) {
    for (int i = 0; i < count; ++i) {
      clock.Advance(absl::Milliseconds(500));
      for (const std::unique_ptr<SimulatedInstance>& instance : instances) {
        instance->Report();
        instance->manager().NegotiateOnce();
      }
    }
  }
};

BOOST_AUTO_TEST_SUITE(SliceManagerTest)

// Guards against shards that together use more than the cap, for any order of negotiation rounds,
// changes of demand, lost responses and outages. A round of another instance runs before each
// store call takes effect.
BOOST_AUTO_TEST_CASE(UseNeverExceedsTheCap) {
  BOOST_TEST(rc::check("slices", [] {
    SliceFixture fixture;
    StoreFaultSequence script(*rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1000)));
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100'000));
    bool exceeded = false;
    size_t active = 0;
    bool nested = false;
    size_t calls = 0;
    fixture.store.SetHook([&](const FakeStore::Call&) {
      exceeded = exceeded || fixture.TotalMaxUse() > kCap;
      if (!nested) {
        nested = true;
        const int pick = steps[++calls % steps.size()];
        for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
          instance->Work(pick % 50);
        }
        fixture.instances[(active + 1 + pick % 2) % 3]->manager().NegotiateOnce();
        nested = false;
      }
      exceeded = exceeded || fixture.TotalMaxUse() > kCap;
      return script.Next();
    });
    for (const int step : steps) {
      active = step % 3;
      SimulatedInstance& instance = *fixture.instances[active];
      if ((step / 3) % 2 == 0) {
        instance.Work((step / 6) % 100);
      } else {
        instance.manager().NegotiateOnce();
      }
      fixture.clock.Advance(absl::Milliseconds((step / 6) % 1500));
      exceeded = exceeded || fixture.TotalMaxUse() > kCap;
    }
    RC_ASSERT(!exceeded);
    fixture.store.SetHook(nullptr);
    fixture.RunRounds(60);
    fixture.instances[0]->Work(30);
    fixture.instances[1]->Work(10);
    fixture.instances[2]->Work(0);
    fixture.RunRounds(60);
    RC_ASSERT(fixture.instances[0]->Limit() >= 30);
    RC_ASSERT(fixture.instances[1]->Limit() >= 10);
    RC_ASSERT(fixture.TotalMaxUse() <= kCap);
  }));
}

// Guards against a lowered cap that stays exceeded after the excess work has ended, and against an
// instance with an older contract that claims more than the newer contract allows.
BOOST_AUTO_TEST_CASE(LoweredCapIsReachedAndNeverExceededAgain) {
  BOOST_TEST(rc::check("lowered cap", [] {
    SliceFixture fixture;
    StoreFaultSequence script(*rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 1000)));
    const auto steps = *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 100'000));
    for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
      instance->Work(40);
    }
    fixture.RunRounds(10);
    RC_ASSERT(fixture.TotalMaxUse() <= kCap);
    fixture.store.SetHook([&](const FakeStore::Call&) { return script.Next(); });
    // Instance 0 learns of the lower cap first and instance 2 last.
    for (size_t i = 0; i < steps.size(); ++i) {
      if (i % 50 == 10) {
        fixture.instances[i / 50]->SetContract(MakeContract(2, kCap / 2));
      }
      SimulatedInstance& instance = *fixture.instances[steps[i] % 3];
      const int64_t before = fixture.TotalMaxUse();
      if (steps[i] % 2 == 0) {
        instance.manager().NegotiateOnce();
      } else {
        instance.Work((steps[i] / 6) % 60);
      }
      RC_ASSERT(fixture.TotalMaxUse() <= std::max(before, kCap));
      fixture.clock.Advance(absl::Milliseconds(300));
    }
    fixture.store.SetHook(nullptr);
    for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
      instance->Work(0);
      instance->Work(50);
    }
    fixture.RunRounds(20);
    for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
      instance->Work(0);
    }
    fixture.RunRounds(20);
    RC_ASSERT(fixture.TotalMaxUse() <= kCap / 2);
  }));
}

// Guards against a store write for each small change of demand, which would exhaust the write
// budget, and against limits that change during a store outage.
BOOST_AUTO_TEST_CASE(SmallChangesOfDemandWriteNothing) {
  SliceFixture fixture;
  for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
    instance->Work(12);
  }
  fixture.RunRounds(60);
  const int64_t before = fixture.store.Calls("swap");
  for (int i = 0; i < 100; ++i) {
    for (const std::unique_ptr<SimulatedInstance>& instance : fixture.instances) {
      instance->Work(11 + i % 2);
    }
    fixture.RunRounds(1);
  }
  BOOST_TEST(fixture.store.Calls("swap") == before);
  fixture.store.SetDown(true);
  const int64_t limit = fixture.instances[0]->Limit();
  fixture.RunRounds(20);
  BOOST_TEST(fixture.instances[0]->Limit() == limit);
}

// Guards against a former shard owner that, after a pause, still uses or releases the slice that
// its successor has taken over.
BOOST_AUTO_TEST_CASE(NextOwnerTakesTheSliceOver) {
  SliceFixture fixture;
  const ShardId shard{FailureDomainId("d0"), PoolName("rendering")};
  fixture.instances[0]->Work(20);
  fixture.RunRounds(10);
  const int64_t limit = fixture.instances[0]->Limit();
  BOOST_TEST(limit >= 20);
  SliceManager next(fixture.Context(), [] { return std::vector<Contract>{MakeContract(1, kCap)}; });
  next.SetOwnedShards({{shard, 2}});
  BOOST_TEST(next.Limit(CustomerId("c"), shard).resources.IsZero());
  BOOST_TEST(next.NegotiateOnce());
  BOOST_TEST(next.Limit(CustomerId("c"), shard).resources.cpu.value() == limit);
  BOOST_TEST(fixture.instances[0]->manager().NegotiateOnce());
  BOOST_TEST(fixture.instances[0]->Limit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
