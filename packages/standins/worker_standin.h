#ifndef POMELOTRAY_STANDINS_WORKER_STANDIN_H_
#define POMELOTRAY_STANDINS_WORKER_STANDIN_H_

#include <string>
#include <thread>

#include "standins/standin_server.h"
#include "standins/worker_state.h"

namespace pomelotray {

// Stand-in for one worker VM.
class WorkerStandin {
 public:
  WorkerStandin(const WorkerOptions& options, const Clock* clock, EventLog* events);
  ~WorkerStandin() { Stop(); }

  bool Start(int port);
  void Stop();
  int port() const { return server_.port(); }
  std::string address() const { return server_.address(); }
  WorkerState* state() { return &state_; }

 private:
  StandinResponse Fence(const StandinRequest& request);
  StandinResponse StartTask(const StandinRequest& request);
  StandinResponse Heartbeat(const StandinRequest& request);
  StandinResponse StopTask(const StandinRequest& request);

  WorkerState state_;
  std::thread timers_;
  StandinServer server_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_WORKER_STANDIN_H_
