#ifndef POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_
#define POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_channel.h"
#include "base/event_log.h"
#include "base/reported_faults.h"
#include "ports/vm_list_port.h"

namespace pomelotray {

// Returns nullopt if there is no list, or a list without any valid entry, which is more likely that
// of another program than one of no VMs. Malformed entries are left out and described in `faults`,
// by their names, if it is not null.
std::optional<std::vector<VmEntry>> DecodeVmList(
    const nlohmann::json& json, std::map<std::string, std::string>* faults = nullptr);

// The platform's VM list over HTTP/JSON. Thread-safe.
class HttpVmList : public VmListPort {
 public:
  class Builder : public HttpOptionsBuilder<Builder> {
   public:
    // Logs malformed entries, each once.
    Builder& SetEvents(EventLog* events) {
      events_ = events;
      return *this;
    }
    std::unique_ptr<HttpVmList> Build() const {
      return std::unique_ptr<HttpVmList>(new HttpVmList(options_, events_));
    }

   private:
    EventLog* events_ = nullptr;
  };

  Result<std::vector<VmEntry>> List() override;

 private:
  HttpVmList(const HttpOptions& options, EventLog* events) : channel_(options), events_(events) {}

  HttpChannel channel_;
  EventLog* const events_;
  ReportedFaults reported_faults_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_
