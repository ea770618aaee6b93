#ifndef POMELOTRAY_API_JOB_ROUTES_H_
#define POMELOTRAY_API_JOB_ROUTES_H_

#include <functional>

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Handles the routes under /v1/jobs. A caller has access only to the jobs of its own customer; a
// request for any other job gets the response for a job that does not exist.
class JobRoutes {
 public:
  // `stopping` returns whether a graceful stop has begun. Requests that wait for a job then return
  // early.
  JobRoutes(AdminService* service, const Clock* clock, std::function<bool()> stopping);

  void AddTo(Router* router);

 private:
  Result<ApiReply> Submit(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Get(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Cancel(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Wait(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> List(const Principal& principal, const ApiRequest& request);

  // Returns the job whose ID is in the path, or kNotFound if `principal` has no access to it.
  Result<JobRecord> Find(const Principal& principal, const ApiRequest& request);

  AdminService* const service_;
  const Clock* const clock_;
  const std::function<bool()> stopping_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_JOB_ROUTES_H_
