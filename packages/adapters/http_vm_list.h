#ifndef POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_
#define POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_

#include <memory>
#include <optional>
#include <vector>

#include "adapters/http_channel.h"
#include "ports/vm_list_port.h"

namespace pomelotray {

// Returns nullopt for anything but a whole, well-formed list.
std::optional<std::vector<VmEntry>> DecodeVmList(const nlohmann::json& json);

// The platform's VM list over HTTP/JSON. Thread-safe.
class HttpVmList : public VmListPort {
 public:
  class Builder : public HttpOptionsBuilder<Builder> {
   public:
    std::unique_ptr<HttpVmList> Build() const {
      return std::unique_ptr<HttpVmList>(new HttpVmList(options_));
    }
  };

  Result<std::vector<VmEntry>> List() override;

 private:
  explicit HttpVmList(const HttpOptions& options) : channel_(options) {}

  HttpChannel channel_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_VM_LIST_H_
