#ifndef POMELOTRAY_API_ROUTER_H_
#define POMELOTRAY_API_ROUTER_H_

#include <set>
#include <string>
#include <vector>

#include "api/api_types.h"

namespace pomelotray {

enum class Access { kAnyone, kCaller, kOperator };

// One route. In `pattern`, "{}" stands for one path segment.
struct Route {
  std::string method;
  std::string pattern;
  Access access = Access::kOperator;
  // Query parameters that the route understands; others are refused.
  std::set<std::string> query;
  ApiHandler handler;
};

// Finds the route of a request.
class Router {
 public:
  struct Match {
    // Null when no route matches.
    const Route* route = nullptr;
    std::vector<std::string> parameters;
    // Methods of the routes that match the path; empty when the path is unknown.
    std::vector<std::string> allowed;
  };

  void Add(Route route);
  Match Find(const std::string& method, const std::string& path) const;

 private:
  struct Entry {
    Route route;
    std::vector<std::string> segments;
  };
  std::vector<Entry> entries_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_ROUTER_H_
