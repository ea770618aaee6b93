#ifndef POMELOTRAY_STANDINS_STORE_STANDIN_H_
#define POMELOTRAY_STANDINS_STORE_STANDIN_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/standin_server.h"
#include "standins/store_state.h"

namespace pomelotray {

// Stand-in for the platform's store. Counts calls by kind, including refused ones, and reports the
// counts at GET /counts.
class StoreStandin {
 public:
  StoreStandin(const Clock* clock, HybridClock* hybrid_clock);
  ~StoreStandin() { Stop(); }

  bool Start(int port) { return server_.Start(port); }
  void Stop();
  int port() const { return server_.port(); }
  std::string address() const { return server_.address(); }
  int64_t CallCount(const std::string& kind) const;

 private:
  using Method = StandinResponse (StoreStandin::*)(const nlohmann::json&);

  void Add(const std::string& kind, const std::string& path, Method method);
  StandinResponse Get(const nlohmann::json& body);
  StandinResponse List(const nlohmann::json& body);
  StandinResponse CompareAndSwap(const nlohmann::json& body);
  StandinResponse Delete(const nlohmann::json& body);
  StandinResponse Watch(const nlohmann::json& body);
  StandinResponse GrantLease(const nlohmann::json& body);
  StandinResponse KeepAlive(const nlohmann::json& body);
  StandinResponse RevokeLease(const nlohmann::json& body);
  nlohmann::json Counts() const;

  StoreState state_;
  mutable absl::Mutex mutex_;
  std::map<std::string, int64_t> counts_ ABSL_GUARDED_BY(mutex_);
  StandinServer server_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_STORE_STANDIN_H_
