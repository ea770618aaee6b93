#ifndef TESTS_CLI_CLI_FIXTURE_H_
#define TESTS_CLI_CLI_FIXTURE_H_

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "api/http_api_server.h"
#include "base/event_log.h"
#include "base/system_clock.h"
#include "cli/cli_program.h"
#include "tests/api/fake_admin_service.h"

namespace pomelotray {

struct CliResult {
  int code = -1;
  std::string out;
  std::string err;
};

// Runs the command-line program against an API server backed by FakeAdminService.
class CliFixture {
 public:
  explicit CliFixture(const std::string& operator_token = "") {
    server = HttpApiServer::Builder({&service, &events, &clock, &registry})
                 .OperatorToken(operator_token)
                 .Build();
    const Outcome<void> started = Capture([this] { return server->Start({"127.0.0.1", 0}); });
    if (started.ok()) {
      address = "127.0.0.1:" + std::to_string(server->port());
    }
  }

  CliResult Run(const std::vector<std::string>& args, const std::string& input = "") const {
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const SettingTable::Environment environment =
        [this](const std::string& name) -> std::optional<std::string> {
      if (name == "POMELOTRAY_ADDRESS") {
        return address;
      }
      return name == "POMELOTRAY_TOKEN" && !token.empty() ? std::optional<std::string>(token)
                                                          : std::nullopt;
    };
    const int code = CliProgram(environment, &in, &out, &err).Run(args);
    return {code, out.str(), err.str()};
  }

  FakeAdminService service;
  SystemClock clock;
  HybridClock hybrid_clock{&clock};
  EventLog events{"test", &hybrid_clock};
  prometheus::Registry registry;
  std::unique_ptr<HttpApiServer> server;
  std::string address;
  std::string token;
};

}  // namespace pomelotray

#endif  // TESTS_CLI_CLI_FIXTURE_H_
