#ifndef POMELOTRAY_BASE_SETTINGS_H_
#define POMELOTRAY_BASE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/socket_address.h"

namespace pomelotray {

// The checked values of all settings of a program, by flag name without dashes, as SettingTable
// read them. Asking for a setting that the table does not define, or as another type, is a
// programming error and ends the process.
class Settings {
 public:
  using Addresses = std::vector<SocketAddress>;
  // Text and secrets are strings.
  using Value = std::variant<std::string, int64_t, absl::Duration, bool, Addresses>;

  explicit Settings(std::map<std::string, Value> values) : values_(std::move(values)) {}

  const std::string& Text(const std::string& flag) const { return Get<std::string>(flag); }
  // Empty when not set.
  const std::string& Secret(const std::string& flag) const { return Get<std::string>(flag); }
  int64_t Integer(const std::string& flag) const { return Get<int64_t>(flag); }
  absl::Duration Duration(const std::string& flag) const { return Get<absl::Duration>(flag); }
  bool Boolean(const std::string& flag) const { return Get<bool>(flag); }
  const SocketAddress& Address(const std::string& flag) const;
  const Addresses& AddressList(const std::string& flag) const { return Get<Addresses>(flag); }

 private:
  template <typename T>
  const T& Get(const std::string& flag) const {
    const auto it = values_.find(flag);
    if (it == values_.end() || !std::holds_alternative<T>(it->second)) {
      AbortUndefined(flag);
    }
    return std::get<T>(it->second);
  }
  [[noreturn]] static void AbortUndefined(const std::string& flag);

  std::map<std::string, Value> values_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_SETTINGS_H_
