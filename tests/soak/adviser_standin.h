#ifndef POMELOTRAY_TESTS_SOAK_ADVISER_STANDIN_H_
#define POMELOTRAY_TESTS_SOAK_ADVISER_STANDIN_H_

#include <memory>
#include <string>
#include <thread>

#include "absl/time/time.h"

namespace httplib {
class Server;
}

namespace pomelotray {

// Stand-in for the platform's adviser, served over HTTP. A hash of the names of step and worker
// decides whether the worker may run the step. Tickets are valid for kTicketValidity.
class AdviserStandin {
 public:
  static constexpr absl::Duration kTicketValidity = absl::Seconds(2);
  // A call takes this long, and kTimePerWorker more for each worker that it names.
  static constexpr absl::Duration kDecisionTime = absl::Milliseconds(60);
  static constexpr absl::Duration kTimePerWorker = absl::Milliseconds(3);

  AdviserStandin();
  ~AdviserStandin();

  std::string address() const;
  static bool Allows(const std::string& step, const std::string& worker);
  // Whether the ticket permits the step to start on the worker now.
  static bool IsValid(const std::string& ticket, const std::string& step,
                      const std::string& worker);

 private:
  std::unique_ptr<httplib::Server> server_;
  int port_ = 0;
  std::thread server_thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_ADVISER_STANDIN_H_
