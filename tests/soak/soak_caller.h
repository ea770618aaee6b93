#ifndef POMELOTRAY_TESTS_SOAK_SOAK_CALLER_H_
#define POMELOTRAY_TESTS_SOAK_SOAK_CALLER_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "tests/soak/instance_group.h"
#include "tests/soak/run_history.h"

namespace httplib {
class Client;
}

namespace pomelotray {

// The host that the routes of a soak run name.
inline constexpr char kSoakHost[] = "soak.example";

// Calls the instances of a soak run as callers do, and records the answers. Each thread keeps its
// connections open and uses them until the instance closes them. Thread-safe.
class SoakCaller {
 public:
  SoakCaller(const InstanceGroup* instances, RunHistory* history);
  ~SoakCaller();

  // Submits a job to random instances until it is accepted, a few times at most. `prefix` selects
  // the route.
  void Submit(const std::string& prefix, const std::string& id, const std::string& payload,
              const nlohmann::json& steps, std::mt19937* random) const;
  // Submits the job once; the caller waits for `wait`. Returns the status, or 0 without an answer.
  int SubmitOnce(const std::string& prefix, const std::string& id, const std::string& payload,
                 const nlohmann::json& steps, absl::Duration wait, int instance) const;
  // Cancels the job once. Returns whether that was answered with 200 or 410.
  bool Cancel(const std::string& prefix, const std::string& id, int instance) const;
  // Returns the state of the job as the instance shows it, "no answer" or the status of the answer.
  std::string StateOf(const std::string& prefix, const std::string& id, int instance) const;

 private:
  // Returns the open connection of this thread to the instance.
  httplib::Client& ConnectionTo(int instance) const;

  const InstanceGroup* const instances_;
  RunHistory* const history_;
  mutable absl::Mutex mutex_;
  mutable std::map<std::pair<std::thread::id, int>, std::unique_ptr<httplib::Client>> connections_
      ABSL_GUARDED_BY(mutex_);
};

// Returns a random number from 0 to `below` - 1.
int RandomBelow(std::mt19937* random, int below);

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_SOAK_CALLER_H_
