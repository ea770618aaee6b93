#ifndef POMELOTRAY_API_ROUTER_H_
#define POMELOTRAY_API_ROUTER_H_

#include <set>
#include <string>
#include <vector>

#include "api/api_types.h"

namespace pomelotray {

// The principals that can use a route: everyone without authentication, any authenticated caller,
// or operators only.
enum class Access { kAnyone, kCaller, kOperator };

// A method and path pattern with its handler. In `pattern`, "{}" matches one non-empty path
// segment.
struct Route {
  std::string method;
  std::string pattern;
  Access access = Access::kOperator;
  // Supported query parameters. Requests with any other parameter are refused.
  std::set<std::string> query;
  ApiHandler handler;
};

// Maps the method and path of a request to a route.
class Router {
 public:
  struct Match {
    // Null if no route matches both path and method.
    const Route* route = nullptr;
    std::vector<std::string> parameters;
    // If `route` is null: the methods of the routes that match the path, empty if there are none.
    std::vector<std::string> allowed;
  };

  void Add(Route route);
  // Returns the first matching route in the order of Add(). HEAD requests match GET routes.
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
