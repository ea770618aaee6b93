#include "api/router.h"

#include <optional>
#include <utility>

#include "absl/strings/str_split.h"

namespace pomelotray {
namespace {

// Returns the path segments that match "{}" in `pattern`, or nullopt if the path does not match.
std::optional<std::vector<std::string>> MatchSegments(const std::vector<std::string>& pattern,
                                                      const std::vector<std::string>& path) {
  if (pattern.size() != path.size()) {
    return std::nullopt;
  }
  std::vector<std::string> parameters;
  for (size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "{}" && !path[i].empty()) {
      parameters.push_back(path[i]);
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  return parameters;
}

}  // namespace

void Router::Add(Route route) {
  std::vector<std::string> segments = absl::StrSplit(route.pattern, '/');
  entries_.push_back({std::move(route), std::move(segments)});
}

Router::Match Router::Find(const std::string& method, const std::string& path) const {
  const std::vector<std::string> segments = absl::StrSplit(path, '/');
  const std::string wanted = method == "HEAD" ? "GET" : method;
  Match match;
  for (const Entry& entry : entries_) {
    std::optional<std::vector<std::string>> parameters = MatchSegments(entry.segments, segments);
    if (!parameters.has_value()) {
      continue;
    }
    match.allowed.push_back(entry.route.method);
    if (entry.route.method == wanted) {
      match.route = &entry.route;
      match.parameters = std::move(*parameters);
      return match;
    }
  }
  return match;
}

}  // namespace pomelotray
