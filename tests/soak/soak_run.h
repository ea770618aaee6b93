#ifndef POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_
#define POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/processes/child_process.h"
#include "tests/soak/run_history.h"
#include "tests/soak/store_standin.h"
#include "tests/soak/worker_standin.h"

namespace pomelotray {

// One soak: real instances as child processes, stand-ins for the platform, callers with open
// connections, and faults drawn from a seed. Faults overlap, and come in series.
class SoakRun {
 public:
  struct Limits {
    int instances = 3;
    int workers = 5;
    int callers = 4;
    absl::Duration faults = absl::Seconds(12);
    // Longest takeover, lease and backlog after the last fault.
    absl::Duration recovery = absl::Seconds(60);
  };

  SoakRun(int seed, Limits limits);
  ~SoakRun();

  // Returns the broken promises; empty when all were kept.
  std::vector<std::string> Run();
  size_t accepted() const { return history_.accepted().size(); }

 private:
  struct Instance {
    std::string settings_file;
    std::string front;
    std::unique_ptr<ChildProcess> process;
    // When a paused or ended process goes on.
    absl::Time resume = absl::InfinitePast();
    bool paused = false;
  };

  void WriteSettings(int index);
  void StartInstance(Instance* instance);
  void InjectFault();
  void InjectInstanceFault();
  void InjectStoreFault();
  // Ends the faults whose time is over; all of them with `all`.
  void EndFaults(bool all);
  void CallerLoop(int caller);
  void SubmitJob(const std::string& id, std::mt19937* random);
  // False when some accepted job is not shown as completed in time.
  void AwaitCompletion();
  std::string StateOf(const std::string& id, size_t instance);

  const int seed_;
  const Limits limits_;
  std::mt19937 random_;
  const std::string folder_;
  RunHistory history_;
  StoreStandin store_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
  std::vector<Instance> instances_;
  absl::Time store_fault_until_ = absl::InfinitePast();
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> callers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_SOAK_RUN_H_
