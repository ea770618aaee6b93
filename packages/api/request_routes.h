#ifndef POMELOTRAY_API_REQUEST_ROUTES_H_
#define POMELOTRAY_API_REQUEST_ROUTES_H_

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Interactive requests: POST /v1/requests/<pool> with a raw body.
class RequestRoutes {
 public:
  explicit RequestRoutes(AdminService* service);

  void AddTo(Router* router);

 private:
  Result<ApiReply> Send(const Principal& principal, const ApiRequest& request);
  // Reads the headers of the call; the timeout defaults to the contract's.
  Result<InteractiveRequest> Read(const Principal& principal, const ApiRequest& request);

  AdminService* const service_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_REQUEST_ROUTES_H_
