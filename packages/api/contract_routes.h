#ifndef POMELOTRAY_API_CONTRACT_ROUTES_H_
#define POMELOTRAY_API_CONTRACT_ROUTES_H_

#include "api/router.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Handles the routes under /v1/contracts. Callers can read only their own contract; operators can
// read and change all contracts.
class ContractRoutes {
 public:
  explicit ContractRoutes(AdminService* service);

  void AddTo(Router* router);

 private:
  Result<ApiReply> List();
  Result<ApiReply> Get(const Principal& principal, const ApiRequest& request);
  Result<ApiReply> Apply(const ApiRequest& request);

  AdminService* const service_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_CONTRACT_ROUTES_H_
