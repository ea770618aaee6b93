#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "boost/test/unit_test.hpp"
#include "history/merge_timelines.h"
#include "tests/shard/fault_run.h"

namespace pomelotray {
namespace {

struct SeedResult {
  uint64_t seed = 0;
  int64_t accepted = 0;
  std::vector<std::string> faults;
};

int64_t FromEnvironment(const char* name, int64_t value) {
  const char* const text = std::getenv(name);
  int64_t parsed = 0;
  return text != nullptr && absl::SimpleAtoi(text, &parsed) ? parsed : value;
}

// Writes the whole history of a run with faults to POMELOTRAY_FAULT_DIR, if it is set.
void WriteHistory(const FaultRun& run, const SeedResult& result) {
  const char* const folder = std::getenv("POMELOTRAY_FAULT_DIR");
  if (folder != nullptr && !result.faults.empty()) {
    std::ofstream file(absl::StrCat(folder, "/seed-", result.seed, ".txt"));
    file << RenderTimeline(MergeTimelines({run.history()}));
  }
}

SeedResult RunSeed(uint64_t seed, const FaultPlan& plan) {
  SeedResult result;
  result.seed = seed;
  FaultRun run(seed, plan);
  run.Run();
  result.accepted = run.accepted_jobs();
  result.faults = run.unfinished();
  const HistoryReport report =
      HistoryChecker::Builder().SetComplete(false).Build().Check(run.history());
  for (const Violation& violation : report.violations) {
    result.faults.push_back(violation.message + "\n" + RenderTimeline(violation.events));
  }
  WriteHistory(run, result);
  return result;
}

// Runs POMELOTRAY_FAULT_SEEDS seeds (default 4) from POMELOTRAY_FAULT_FIRST_SEED (default 1), some
// at a time.
void CheckPlan(const FaultPlan& plan) {
  const int64_t first = FromEnvironment("POMELOTRAY_FAULT_FIRST_SEED", 1);
  const int64_t count = FromEnvironment("POMELOTRAY_FAULT_SEEDS", 4);
  std::vector<SeedResult> results(static_cast<size_t>(count));
  std::vector<std::thread> threads;
  for (int64_t begin = 0; begin < count; begin += 4) {
    for (int64_t i = begin; i < std::min(begin + 4, count); ++i) {
      threads.emplace_back([&results, &plan, first, i] {
        results[static_cast<size_t>(i)] = RunSeed(static_cast<uint64_t>(first + i), plan);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    threads.clear();
  }
  for (const SeedResult& result : results) {
    BOOST_TEST_CONTEXT("seed " << result.seed) {
      BOOST_TEST(result.accepted > 0);
      for (const std::string& fault : result.faults) {
        BOOST_ERROR(fault);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE(OwnerFaultsTest)

// Guards against a deposed owner that fences a restarted worker again.
BOOST_AUTO_TEST_CASE(ZombieOwnersAndReboots) {
  FaultPlan plan;
  plan.zombie_owners = true;
  plan.worker_cuts = true;
  plan.worker_reboots = true;
  CheckPlan(plan);
}

// Guards against jobs that are lost or never end without any fault.
BOOST_AUTO_TEST_CASE(NoFaults) { CheckPlan(FaultPlan{}); }

// Guards against lost, doubled or falsely reported jobs when owners die and others take over.
BOOST_AUTO_TEST_CASE(OwnerCrashes) {
  FaultPlan plan;
  plan.owner_crashes = true;
  plan.cancellations = true;
  CheckPlan(plan);
}

// Guards against two owners that give out the same workers.
BOOST_AUTO_TEST_CASE(ZombieOwners) {
  FaultPlan plan;
  plan.zombie_owners = true;
  plan.worker_cuts = true;
  CheckPlan(plan);
}

// Guards against starts that take effect after the owner has given up on them.
BOOST_AUTO_TEST_CASE(DelayedAndLostCommands) {
  FaultPlan plan;
  plan.delayed_commands = true;
  plan.lost_worker_answers = true;
  plan.worker_cuts = true;
  CheckPlan(plan);
}

// Guards against repeated work that may not be repeated when workers restart.
BOOST_AUTO_TEST_CASE(WorkerReboots) {
  FaultPlan plan;
  plan.worker_reboots = true;
  plan.lost_worker_answers = true;
  CheckPlan(plan);
}

// Guards against acknowledged jobs that are lost with the store's answers.
BOOST_AUTO_TEST_CASE(StoreOutagesAndCrashes) {
  FaultPlan plan;
  plan.store_outages = true;
  plan.lost_store_answers = true;
  plan.owner_crashes = true;
  CheckPlan(plan);
}

// Guards against faults that only show together.
BOOST_AUTO_TEST_CASE(EverythingAtOnce) {
  FaultPlan plan{true, true, true, true, true, true, true, true, true};
  CheckPlan(plan);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
