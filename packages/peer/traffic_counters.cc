#include "peer/traffic_counters.h"

#include <algorithm>
#include <array>

namespace pomelotray {
namespace {

constexpr std::array<std::string_view, 7> kMethods = {
    "heartbeat", "config.pull", "submit", "status", "cancel", "request", "admin"};

std::string Label(std::string_view method) {
  if (method.empty()) {
    return "connection";
  }
  const bool known = std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
  return known ? std::string(method) : "other";
}

}  // namespace

void TrafficCounters::AddSent(std::string_view method, LinkClass link, int64_t bytes,
                              int64_t messages) {
  absl::MutexLock lock(&mutex_);
  Traffic& traffic = Entry(method, link);
  traffic.bytes_sent += bytes;
  traffic.messages_sent += messages;
}

void TrafficCounters::AddReceived(std::string_view method, LinkClass link, int64_t bytes,
                                  int64_t messages) {
  absl::MutexLock lock(&mutex_);
  Traffic& traffic = Entry(method, link);
  traffic.bytes_received += bytes;
  traffic.messages_received += messages;
}

TrafficCounters::Snapshot TrafficCounters::Read() const {
  absl::MutexLock lock(&mutex_);
  return traffic_;
}

Traffic& TrafficCounters::Entry(std::string_view method, LinkClass link) {
  return traffic_[{Label(method), link}];
}

}  // namespace pomelotray
