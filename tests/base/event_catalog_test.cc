#include "base/event_catalog.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "boost/test/unit_test.hpp"

namespace pomelotray {
namespace {

std::string LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kNotice:
      return "notice";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "unknown";
}

BOOST_AUTO_TEST_SUITE(EventCatalogTest)

// Guards against events that operators cannot look up.
BOOST_AUTO_TEST_CASE(PageListsEveryEvent) {
  std::ifstream file(std::string(POMELOTRAY_SOURCE_DIR) + "/docs/events.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const EventDescription& event : EventCatalog()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(event.code) << " | " << LevelName(event.level) << " | `"
        << event.name << "` | " << event.text << " |";
    BOOST_TEST(page.str().find(row.str()) != std::string::npos, row.str());
  }
}

// Guards against a number that two events share.
BOOST_AUTO_TEST_CASE(NumbersAreUnique) {
  std::set<int> numbers;
  for (const EventDescription& event : EventCatalog()) {
    BOOST_TEST(numbers.insert(static_cast<int>(event.code)).second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
