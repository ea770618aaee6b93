#ifndef POMELOTRAY_STANDINS_TRAFFIC_METER_H_
#define POMELOTRAY_STANDINS_TRAFFIC_METER_H_

#include <atomic>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace pomelotray {

// Counts the calls to the simulated interface of a stand-in and their HTTP bytes. The bytes include
// HTTP headers but not TCP and IP overhead. Calls of the test harness are not counted. Thread-safe.
class TrafficMeter {
 public:
  void Add(const httplib::Request& request, const httplib::Response& response);
  // Returns {"calls", "bytes_received", "bytes_sent"}.
  nlohmann::json ToJson() const;

 private:
  std::atomic<int64_t> calls_{0};
  std::atomic<int64_t> bytes_received_{0};
  std::atomic<int64_t> bytes_sent_{0};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_TRAFFIC_METER_H_
