#ifndef POMELOTRAY_STANDINS_VM_LIST_STANDIN_H_
#define POMELOTRAY_STANDINS_VM_LIST_STANDIN_H_

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "standins/standin_server.h"

namespace pomelotray {

// Stand-in for the platform's VM list. A change becomes visible only after `lag`.
class VmListStandin {
 public:
  VmListStandin(const Clock* clock, HybridClock* hybrid_clock, absl::Duration lag);
  ~VmListStandin() { Stop(); }

  // Replaces the list with immediate effect. Returns false if `list` is not {"vms": [...]}.
  bool Load(const nlohmann::json& list);
  bool Start(int port) { return server_.Start(port); }
  void Stop() { server_.Stop(); }
  int port() const { return server_.port(); }
  std::string address() const { return server_.address(); }

 private:
  struct Snapshot {
    absl::Time visible_from;
    nlohmann::json vms;
  };

  StandinResponse Get();
  StandinResponse Put(const nlohmann::json& body);
  StandinResponse Patch(const std::string& id, const nlohmann::json& body);

  const Clock* const clock_;
  const absl::Duration lag_;
  absl::Mutex mutex_;
  // Ordered from oldest to newest. Readers see the first one; the last one includes all changes.
  std::deque<Snapshot> snapshots_ ABSL_GUARDED_BY(mutex_);
  StandinServer server_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_VM_LIST_STANDIN_H_
