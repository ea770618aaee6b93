#include "api/contract_routes.h"

#include <limits>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/contract_codec.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

nlohmann::json StoredContractToJson(const Contract& contract) {
  return {{"contract", ContractToJson(contract)}, {"revision", contract.revision.value()}};
}

}  // namespace

ContractRoutes::ContractRoutes(AdminService* service) : service_(service) {}

void ContractRoutes::AddTo(Router* router) {
  router->Add(
      {"GET", "/v1/contracts", Access::kOperator, {}, [this](const Principal&, const ApiRequest&) {
         return List();
       }});
  router->Add({"GET",
               "/v1/contracts/{}",
               Access::kCaller,
               {},
               [this](const Principal& principal, const ApiRequest& request) {
                 return Get(principal, request);
               }});
  router->Add({"PUT",
               "/v1/contracts/{}",
               Access::kOperator,
               {"expected_revision"},
               [this](const Principal&, const ApiRequest& request) { return Apply(request); }});
}

Result<ApiReply> ContractRoutes::List() {
  BOOST_LEAF_AUTO(contracts, service_->ListContracts());
  nlohmann::json list = nlohmann::json::array();
  for (const Contract& contract : contracts) {
    list.push_back(StoredContractToJson(contract));
  }
  return JsonReply({{"contracts", std::move(list)}});
}

Result<ApiReply> ContractRoutes::Get(const Principal& principal, const ApiRequest& request) {
  const CustomerId customer(request.parameters.front());
  if (!principal.is_operator && customer != principal.customer) {
    return Fail(ErrorKind::kNotFound,
                absl::StrCat("Customer ", FieldReader::Show(nlohmann::json(customer.value())),
                             " has no contract; check the name."));
  }
  BOOST_LEAF_AUTO(contract, service_->GetContract(customer));
  return JsonReply(StoredContractToJson(contract));
}

Result<ApiReply> ContractRoutes::Apply(const ApiRequest& request) {
  BOOST_LEAF_AUTO(expected, IntegerQuery(request, "expected_revision", 0,
                                         std::numeric_limits<int64_t>::max(), std::nullopt));
  BOOST_LEAF_AUTO(json, ParseJson(request.body, "contract"));
  BOOST_LEAF_AUTO(contract, ContractFromJson(json));
  if (contract.customer.value() != request.parameters.front()) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The path has customer ",
                             FieldReader::Show(nlohmann::json(request.parameters.front())),
                             " and the contract has customer ", contract.customer.value(),
                             "; use the same customer in both."));
  }
  BOOST_LEAF_AUTO(stored, service_->ApplyContract(contract, Revision(expected)));
  return JsonReply(StoredContractToJson(stored));
}

}  // namespace pomelotray
