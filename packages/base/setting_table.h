#ifndef POMELOTRAY_BASE_SETTING_TABLE_H_
#define POMELOTRAY_BASE_SETTING_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/fault_list.h"
#include "base/settings.h"

namespace pomelotray {

// Defines the settings of a program and reads them: a flag goes before the environment variable
// POMELOTRAY_<NAME>, which goes before the default. All mistakes are reported at once.
//
//   SettingTable table;
//   table.Address("listen-address", "127.0.0.1:7070", "Address of the HTTP API.")
//       .Secret("operator-token", "Token of operators.");
//   BOOST_LEAF_AUTO(settings, table.Read(flags, &EnvironmentVariable));
class SettingTable {
 public:
  // Returns the value of an environment variable, or nullopt when it is not set.
  using Environment = std::function<std::optional<std::string>(const std::string&)>;
  // Flags given on the command line, without dashes.
  using Flags = std::map<std::string, std::string>;

  // Without a default, a setting is required.
  using Default = std::optional<std::string>;

  SettingTable& Text(const std::string& flag, const Default& value, const std::string& help);
  SettingTable& Integer(const std::string& flag, int64_t min, int64_t max, const Default& value,
                        const std::string& help);
  // A duration such as "500ms" or "1m30s".
  SettingTable& Duration(const std::string& flag, absl::Duration min, absl::Duration max,
                         const Default& value, const std::string& help);
  // One "<ip>:<port>"; port 0 picks a free port.
  SettingTable& Address(const std::string& flag, const Default& value, const std::string& help);
  // Addresses separated by commas; may be empty.
  SettingTable& AddressList(const std::string& flag, const Default& value, const std::string& help);
  SettingTable& Boolean(const std::string& flag, bool value, const std::string& help);
  // Optional, and never shown. Also defines <flag>-file, which names a file that holds the secret.
  SettingTable& Secret(const std::string& flag, const std::string& help);

  Result<Settings> Read(const Flags& flags, const Environment& environment) const;

  // The option lines of a docopt usage text. Defaults are written so that docopt does not apply
  // them itself, because then a flag could not be told from a default.
  std::string OptionsText() const;
  std::vector<std::string> FlagNames() const;

 private:
  enum class Type { kText, kInteger, kDuration, kAddress, kAddressList, kBoolean, kSecret };

  struct Spec {
    Type type = Type::kText;
    std::string flag;
    Default value;
    std::string help;
    int64_t min_integer = 0;
    int64_t max_integer = 0;
    absl::Duration min_duration;
    absl::Duration max_duration;
    // For faults: "use ...".
    std::string remedy;
  };

  // A value before it is checked, and where it came from.
  struct Source {
    std::string text;
    std::string origin;
  };

  static std::optional<Source> FindSource(const std::string& flag, const Flags& flags,
                                          const Environment& environment);
  static std::optional<Settings::Value> Parse(const Spec& spec, const std::string& text);
  static Settings::Value ReadValue(const Spec& spec, const Flags& flags,
                                   const Environment& environment, FaultList* faults);
  static std::string ReadSecret(const Spec& spec, const Flags& flags,
                                const Environment& environment, FaultList* faults);
  SettingTable& Add(Spec spec);

  std::vector<Spec> specs_;
};

// "listen-address" -> "POMELOTRAY_LISTEN_ADDRESS".
std::string EnvironmentName(const std::string& flag);
// Reads the process environment.
std::optional<std::string> EnvironmentVariable(const std::string& name);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_SETTING_TABLE_H_
