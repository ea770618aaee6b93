#include "base/settings.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "base/setting_table.h"
#include "boost/test/unit_test.hpp"

namespace pomelotray {
namespace {

using Flags = SettingTable::Flags;

SettingTable ExampleTable() {
  SettingTable table;
  table.Text("domain", std::nullopt, "Failure domain of this instance.")
      .Integer("threads", 1, 64, "8", "Worker threads.")
      .Duration("period", absl::Milliseconds(10), absl::Seconds(5), "500ms", "Period.")
      .Address("listen-address", "127.0.0.1:7070", "Address of the API.")
      .AddressList("peers", "", "Other instances.")
      .Boolean("fencing", true, "Whether workers can fence.")
      .Secret("token", "Token of operators.");
  return table;
}

SettingTable::Environment Env(const Flags& variables) {
  return [variables](const std::string& name) -> std::optional<std::string> {
    const auto it = variables.find(name);
    return it == variables.end() ? std::nullopt : std::optional<std::string>(it->second);
  };
}

Outcome<Settings> Read(const Flags& flags, const Flags& variables) {
  return Capture([&] { return ExampleTable().Read(flags, Env(variables)); });
}

// A secret file that is removed at the end of the test.
class SecretFile {
 public:
  explicit SecretFile(const std::string& content) {
    std::ofstream(path_, std::ios::binary) << content;
  }
  SecretFile(const SecretFile&) = delete;
  SecretFile& operator=(const SecretFile&) = delete;
  ~SecretFile() { std::remove(path_.c_str()); }

  const std::string& path() const { return path_; }

 private:
  const std::string path_ = "settings_test_secret." + std::to_string(getpid());
};

BOOST_AUTO_TEST_SUITE(SettingsTest)

// Guards against a default or variable that overrides what the operator typed.
BOOST_AUTO_TEST_CASE(FlagBeatsEnvironmentBeatsDefault) {
  const Outcome<Settings> settings =
      Read({{"threads", "2"}, {"listen-address", "[::1]:0"}},
           {{"POMELOTRAY_THREADS", "3"}, {"POMELOTRAY_PERIOD", "1s"}, {"POMELOTRAY_DOMAIN", "a"}});
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings.value().Integer("threads") == 2);
  BOOST_TEST((settings.value().Duration("period") == absl::Seconds(1)));
  BOOST_TEST(settings.value().Boolean("fencing"));
  BOOST_TEST(settings.value().Address("listen-address").ToString() == "[::1]:0");
  BOOST_TEST(settings.value().AddressList("peers").empty());
  BOOST_TEST(settings.value().Secret("token").empty());
}

// Guards against mistakes that surface one restart at a time, and against secrets in messages.
BOOST_AUTO_TEST_CASE(AllMistakesAreListedWithoutSecrets) {
  const Outcome<Settings> settings =
      Read({{"threads", "0"}, {"period", "fast"}, {"token", "two words"}},
           {{"POMELOTRAY_LISTEN_ADDRESS", "localhost:7070"},
            {"POMELOTRAY_PEERS", "127.0.0.1:1,127.0.0.1:65536"},
            {"POMELOTRAY_FENCING", "yes"}});
  BOOST_REQUIRE(!settings.ok());
  BOOST_TEST(
      settings.error().message ==
      "The configuration is invalid: "
      "--domain is not set by flag or POMELOTRAY_DOMAIN: set it to a text; "
      "--threads is \"0\" from the flag --threads: use a whole number from 1 to 64; "
      "--period is \"fast\" from the flag --period: use a duration from 10ms to 5s, such as "
      "\"500ms\"; "
      "--listen-address is \"localhost:7070\" from the environment variable "
      "POMELOTRAY_LISTEN_ADDRESS: use <ip>:<port>, such as 127.0.0.1:7070 or [::1]:7070; "
      "--peers is \"127.0.0.1:1,127.0.0.1:65536\" from the environment variable "
      "POMELOTRAY_PEERS: use <ip>:<port>, several separated by commas; "
      "--fencing is \"yes\" from the environment variable POMELOTRAY_FENCING: use true or false; "
      "--token from the flag --token is not a usable secret: use 1 to 4096 printable ASCII "
      "characters without spaces.");
}

// Guards against a token that includes the newline of its file, and against an unreadable file
// that silently leaves a listener without a token.
BOOST_AUTO_TEST_CASE(SecretsAreReadFromFiles) {
  const SecretFile file("s3cret\n");
  const Outcome<Settings> read =
      Read({{"domain", "a"}, {"token-file", file.path()}}, {{"POMELOTRAY_TOKEN", "other"}});
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read.value().Secret("token") == "s3cret");

  const Outcome<Settings> both =
      Read({{"domain", "a"}, {"token", "x"}, {"token-file", file.path()}}, {});
  BOOST_REQUIRE(!both.ok());
  BOOST_TEST(both.error().message ==
             "The configuration is invalid: --token is set by the flag --token and by the flag "
             "--token-file: set one of the two.");

  const Outcome<Settings> missing =
      Read({{"domain", "a"}}, {{"POMELOTRAY_TOKEN_FILE", "does/not/exist"}});
  BOOST_REQUIRE(!missing.ok());
  BOOST_TEST(missing.error().message ==
             "The configuration is invalid: --token-file is \"does/not/exist\" from the "
             "environment variable POMELOTRAY_TOKEN_FILE, which cannot be read: name a readable "
             "file.");
}

// Guards against a name or a malformed number that reaches bind() or connect().
BOOST_AUTO_TEST_CASE(OnlyNumericAddressesAreAccepted) {
  for (const char* text : {"127.0.0.1:0", "[::1]:65535", "10.1.2.3:80"}) {
    const std::optional<SocketAddress> address = SocketAddress::Parse(text);
    BOOST_REQUIRE(address.has_value());
    BOOST_TEST(address->ToString() == text);
  }
  for (const char* text : {"", ":", "::1:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1",
                           "127.0.0.1:+1", "127.0.0.1: 1", "[127.0.0.1]:1", "host:1", "[]:1"}) {
    BOOST_TEST(!SocketAddress::Parse(text).has_value(), text);
  }
  BOOST_TEST(IsLoopbackIp("127.8.9.10"));
  BOOST_TEST(IsLoopbackIp("::ffff:127.0.0.1"));
  BOOST_TEST(!IsLoopbackIp("128.0.0.1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
