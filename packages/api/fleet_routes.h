#ifndef POMELOTRAY_API_FLEET_ROUTES_H_
#define POMELOTRAY_API_FLEET_ROUTES_H_

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Handles the operator routes that list instances and workers, drain a VM and read the event
// timeline.
class FleetRoutes {
 public:
  explicit FleetRoutes(AdminService* service);

  void AddTo(Router* router);

 private:
  Result<ApiReply> Instances();
  Result<ApiReply> Workers();
  Result<ApiReply> Drain(const ApiRequest& request);
  Result<ApiReply> Timeline(const ApiRequest& request);

  AdminService* const service_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_FLEET_ROUTES_H_
