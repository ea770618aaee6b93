#ifndef POMELOTRAY_API_REQUEST_ROUTES_H_
#define POMELOTRAY_API_REQUEST_ROUTES_H_

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Handles interactive requests: POST /v1/requests/<pool> with an uninterpreted body.
class RequestRoutes {
 public:
  explicit RequestRoutes(AdminService* service);

  void AddTo(Router* router);

 private:
  Result<ApiReply> Send(const Principal& principal, const ApiRequest& request);
  // Parses the path, headers and body of a request. The timeout defaults to the default deadline of
  // the customer's contract.
  Result<InteractiveRequest> Read(const Principal& principal, const ApiRequest& request);

  AdminService* const service_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_REQUEST_ROUTES_H_
