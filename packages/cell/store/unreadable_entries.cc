#include "cell/store/unreadable_entries.h"

#include <functional>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace pomelotray {
namespace {

// Bounds the memory that the keys use. Further keys are not logged.
constexpr size_t kMaxLoggedKeys = 10'000;
// Keys and parts of values, which are in the reasons, may be as large as the store accepts.
constexpr size_t kMaxLoggedBytes = 300;

// Returns the start of the text with U+FFFD in place of bytes that are not UTF-8, since writing the
// log fails on such bytes.
std::string Printable(const std::string& text) {
  return nlohmann::json::parse(DumpJson(text.substr(0, kMaxLoggedBytes))).get<std::string>();
}

}  // namespace

void UnreadableEntries::Record(const StoreEntry& entry, const Error& error) {
  const size_t hash = std::hash<std::string>()(entry.value);
  {
    absl::MutexLock lock(&mutex_);
    const auto known = logged_.find(entry.key);
    if (known != logged_.end() ? known->second == hash : logged_.size() >= kMaxLoggedKeys) {
      return;
    }
    logged_[entry.key] = hash;
  }
  events_->Record(EventCode::kUnreadableEntry)
      .With("key", Printable(entry.key))
      .With(event_field::kReason, Printable(error.message))
      .Emit();
}

}  // namespace pomelotray
