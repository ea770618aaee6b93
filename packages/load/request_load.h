#ifndef POMELOTRAY_LOAD_REQUEST_LOAD_H_
#define POMELOTRAY_LOAD_REQUEST_LOAD_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "bench/samples.h"
#include "load/request_target.h"

namespace pomelotray {

struct RequestLoadPlan {
  std::string name;
  int clients = 1;
  // Requests per second of an open-loop load; 0 selects a closed-loop load.
  double rate = 0;
  absl::Duration duration = absl::Seconds(2);
  // Service time that the executor spends on each request.
  int service_ms = 5;
};

struct RequestLoadResult {
  // In an open-loop load, latency is measured from the scheduled send time, so that it includes any
  // delay in sending.
  Samples latency_ms;
  int64_t sent = 0;
  int64_t failed = 0;
  int64_t wrong_answers = 0;

  void Merge(const RequestLoadResult& other);
};

// Generates interactive requests with one thread per client.
class RequestLoad {
 public:
  // Creates the target that client number `client` sends its requests to.
  using TargetFactory = std::function<std::unique_ptr<RequestTarget>(int client)>;

  RequestLoad(RequestLoadPlan plan, TargetFactory factory);
  RequestLoadResult Run(const std::string& id_prefix);

 private:
  struct Shared;
  void RunClient(int client, const std::string& id_prefix, Shared* shared);

  const RequestLoadPlan plan_;
  const TargetFactory factory_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_REQUEST_LOAD_H_
