#ifndef POMELOTRAY_ADAPTERS_HTTP_STORE_H_
#define POMELOTRAY_ADAPTERS_HTTP_STORE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_channel.h"
#include "ports/store_port.h"

namespace pomelotray {

// The platform's store over HTTP/JSON. Thread-safe; a waiting Watch does not block other calls.
class HttpStore : public StorePort {
 public:
  class Builder : public HttpOptionsBuilder<Builder> {
   public:
    std::unique_ptr<HttpStore> Build() const {
      return std::unique_ptr<HttpStore>(new HttpStore(options_));
    }
  };

  using StorePort::CompareAndSwap;
  Result<std::optional<StoreEntry>> Get(const std::string& key) override;
  Result<std::vector<StoreEntry>> List(const std::string& prefix) override;
  Result<Revision> CompareAndSwap(const std::string& key, Revision expected,
                                  const std::string& value,
                                  const std::optional<StoreLeaseId>& lease) override;
  Result<void> Delete(const std::string& key, Revision expected) override;
  Result<WatchBatch> Watch(const std::string& prefix, Revision after, absl::Duration wait) override;
  Result<StoreLeaseId> GrantLease(absl::Duration ttl) override;
  Result<void> KeepAlive(const StoreLeaseId& lease) override;
  Result<void> RevokeLease(const StoreLeaseId& lease) override;

 private:
  explicit HttpStore(const HttpOptions& options) : channel_(options) {}

  Result<nlohmann::json> Read(const char* path, nlohmann::json body, absl::Duration extra_wait);
  Result<nlohmann::json> Write(const char* path, nlohmann::json body);

  HttpChannel channel_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_HTTP_STORE_H_
