#ifndef POMELOTRAY_TESTS_SOAK_INSTANCE_GROUP_H_
#define POMELOTRAY_TESTS_SOAK_INSTANCE_GROUP_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "tests/processes/child_process.h"
#include "tests/soak/run_history.h"

namespace pomelotray {

// The instances of a soak run, each a child process with its own settings file and loopback
// address. Not thread-safe, apart from front_address().
class InstanceGroup {
 public:
  // `adviser_address` may be empty.
  InstanceGroup(int count, const std::string& store_address, const std::string& adviser_address,
                RunHistory* history);

  int size() const { return static_cast<int>(instances_.size()); }
  const std::string& front_address(int index) const { return instances_[index].front_address; }
  // Returns the folder with the settings files and logs of the instances.
  const std::string& folder() const { return folder_; }
  // Whether the process runs and is neither paused nor being stopped.
  bool IsUp(int index) const;
  // Kills the process; EndFaults() starts it again after `downtime`.
  void Kill(int index, absl::Duration downtime);
  // Stops the process with SIGSTOP; EndFaults() continues it after `duration`.
  void Pause(int index, absl::Duration duration);
  // Stops the process with SIGTERM and waits for its end. A stop that takes too long is a
  // violation.
  void Terminate(int index);
  // Sends SIGTERM and does not wait: EndFaults() starts the process again once it has ended. A stop
  // that takes too long is a violation.
  void BeginStop(int index);
  // Starts and continues the processes whose time is over, or all of them if `all` is set. An end
  // of a process that nobody caused is a violation.
  void EndFaults(bool all);
  // Returns the index of the instance that the stored claim names, or no value if there is none.
  std::optional<int> FindOwner(const std::string& claim) const;

 private:
  struct Instance {
    std::string settings_file;
    std::string front_address;
    std::unique_ptr<ChildProcess> process;
    // Time at which a paused process is continued or an ended one is started again.
    absl::Time resume_at = absl::InfinitePast();
    bool paused = false;
    // By then a process that was sent SIGTERM must have ended.
    absl::Time stop_deadline = absl::InfiniteFuture();

    bool IsStopping() const { return stop_deadline < absl::InfiniteFuture(); }
  };

  void WriteSettings(int index, const std::string& store_address,
                     const std::string& adviser_address);
  static void Start(Instance* instance);
  // Starts a process that was sent SIGTERM again if it has ended. Waits for its end if `wait` is
  // set.
  void EndStop(Instance* instance, bool wait);

  RunHistory* const history_;
  const std::string folder_;
  std::vector<Instance> instances_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_INSTANCE_GROUP_H_
