#ifndef POMELOTRAY_API_JOB_ROUTES_H_
#define POMELOTRAY_API_JOB_ROUTES_H_

#include <functional>

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// The routes below /v1/jobs. A caller sees only its own customer's jobs; any other job is answered
// as if it did not exist.
class JobRoutes {
 public:
  // `stopping` tells that a graceful stop has begun, which ends long waits.
  JobRoutes(AdminService* service, const Clock* clock, std::function<bool()> stopping);

  void AddTo(Router* router);

 private:
  Result<ApiReply> Submit(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Get(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Cancel(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Wait(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> List(const Principal& principal, const ApiRequest& request);

  // Reads the job named in the path, if `principal` may see it.
  Result<JobRecord> Find(const Principal& principal, const ApiRequest& request);

  AdminService* const service_;
  const Clock* const clock_;
  const std::function<bool()> stopping_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_JOB_ROUTES_H_
