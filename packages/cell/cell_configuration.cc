#include "cell/cell_configuration.h"

#include "absl/strings/match.h"

namespace pomelotray {

const QueueRoute* CellConfiguration::FindRoute(std::string_view host, std::string_view path) const {
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : routes) {
    if (absl::EqualsIgnoreCase(route.host, absl::string_view(host.data(), host.size())) &&
        path.substr(0, route.path_prefix.size()) == route.path_prefix &&
        (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Contract* CellConfiguration::FindContract(const CustomerId& customer) const {
  for (const Contract& contract : contracts) {
    if (contract.customer == customer) {
      return &contract;
    }
  }
  return nullptr;
}

}  // namespace pomelotray
