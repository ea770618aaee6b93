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
  std::vector<std::string> failures;
};

int64_t IntegerFromEnvironment(const char* name, int64_t value) {
  const char* const text = std::getenv(name);
  int64_t parsed = 0;
  return text != nullptr && absl::SimpleAtoi(text, &parsed) ? parsed : value;
}

// Writes the complete history of a failed run to the directory POMELOTRAY_FAULT_DIR, if that is
// set.
void WriteHistory(const FaultRun& run, const SeedResult& result) {
  const char* const folder = std::getenv("POMELOTRAY_FAULT_DIR");
  if (folder != nullptr && !result.failures.empty()) {
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
  result.failures = run.unfinished();
  const HistoryReport report =
      HistoryChecker::Builder().SetComplete(false).Build().Check(run.history());
  for (const Violation& violation : report.violations) {
    result.failures.push_back(violation.message + "\n" + RenderTimeline(violation.events));
  }
  WriteHistory(run, result);
  return result;
}

// Runs POMELOTRAY_FAULT_SEEDS consecutive seeds (default 4), starting with
// POMELOTRAY_FAULT_FIRST_SEED (default 1), four at a time. Fails for each job that did not become
// final and each rule of the history checker that a run violated.
void CheckPlan(const FaultPlan& plan) {
  const int64_t first = IntegerFromEnvironment("POMELOTRAY_FAULT_FIRST_SEED", 1);
  const int64_t count = IntegerFromEnvironment("POMELOTRAY_FAULT_SEEDS", 4);
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
      for (const std::string& failure : result.failures) {
        BOOST_ERROR(failure);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE(OwnerFaultsTest)

// Guards against a deposed owner that fences a worker after a restart. The restarted worker has
// forgotten the epoch of the new owner and would accept the deposed one.
BOOST_AUTO_TEST_CASE(ZombieOwnersAndReboots) {
  FaultPlan plan;
  plan.zombie_owners = true;
  plan.worker_disconnections = true;
  plan.worker_reboots = true;
  CheckPlan(plan);
}

// Guards against jobs that are lost or never become final although no fault is injected.
BOOST_AUTO_TEST_CASE(NoFaults) { CheckPlan(FaultPlan{}); }

// Guards against jobs that are lost, run twice or reported with a wrong state when an owner crashes
// and another takes over.
BOOST_AUTO_TEST_CASE(OwnerCrashes) {
  FaultPlan plan;
  plan.owner_crashes = true;
  plan.cancellations = true;
  CheckPlan(plan);
}

// Guards against two owners that assign tasks to the same workers, when the former owner keeps
// running after a takeover and some workers are disconnected.
BOOST_AUTO_TEST_CASE(ZombieOwners) {
  FaultPlan plan;
  plan.zombie_owners = true;
  plan.worker_disconnections = true;
  CheckPlan(plan);
}

// Guards against starts that take effect after the owner has treated them as failed, when commands
// are delayed and responses are lost.
BOOST_AUTO_TEST_CASE(DelayedAndLostCommands) {
  FaultPlan plan;
  plan.delayed_commands = true;
  plan.lost_worker_answers = true;
  plan.worker_disconnections = true;
  CheckPlan(plan);
}

// Guards against a second run of tasks that may not be repeated, when workers restart and their
// responses are lost.
BOOST_AUTO_TEST_CASE(WorkerReboots) {
  FaultPlan plan;
  plan.worker_reboots = true;
  plan.lost_worker_answers = true;
  CheckPlan(plan);
}

// Guards against the loss of accepted jobs when the store is unavailable, its responses are lost
// and owners crash.
BOOST_AUTO_TEST_CASE(StoreOutagesAndCrashes) {
  FaultPlan plan;
  plan.store_outages = true;
  plan.lost_store_answers = true;
  plan.owner_crashes = true;
  CheckPlan(plan);
}

// Guards against failures that occur only when several kinds of faults coincide.
BOOST_AUTO_TEST_CASE(EverythingAtOnce) {
  FaultPlan plan{true, true, true, true, true, true, true, true, true};
  CheckPlan(plan);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
