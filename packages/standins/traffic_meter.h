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

// Counts the calls of a stand-in's interface and their HTTP bytes, headers included and TCP and IP
// excluded. Calls of the test harness are left out. Thread-safe.
class TrafficMeter {
 public:
  void Add(const httplib::Request& request, const httplib::Response& response);
  // {"calls", "bytes_received", "bytes_sent"}
  nlohmann::json ToJson() const;

 private:
  std::atomic<int64_t> calls_{0};
  std::atomic<int64_t> bytes_received_{0};
  std::atomic<int64_t> bytes_sent_{0};
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_TRAFFIC_METER_H_
