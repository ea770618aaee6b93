#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "boost/test/unit_test.hpp"
#include "cli/command.h"
#include "cli/help_texts.h"
#include "tests/cli/cli_fixture.h"

namespace pomelotray {
namespace {

void Expect(const CliResult& result, int code, const std::string& out, const std::string& err) {
  BOOST_TEST(result.code == code);
  BOOST_TEST(result.out == out);
  BOOST_TEST(result.err == err);
}

// A loopback port that refuses connections, or accepts one, reads from it and closes it without a
// response.
class UnresponsiveServer {
 public:
  explicit UnresponsiveServer(bool accepts) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    if (accepts) {
      BOOST_REQUIRE(listen(fd_, 1) == 0);
      thread_ = std::thread([this] {
        const int client = accept(fd_, nullptr, nullptr);
        char buffer[1];
        recv(client, buffer, sizeof(buffer), 0);
        close(client);
      });
    }
  }
  UnresponsiveServer(const UnresponsiveServer&) = delete;
  UnresponsiveServer& operator=(const UnresponsiveServer&) = delete;
  ~UnresponsiveServer() {
    shutdown(fd_, SHUT_RDWR);
    if (thread_.joinable()) {
      thread_.join();
    }
    close(fd_);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  const int fd_;
  int port_ = 0;
  std::thread thread_;
};

const std::vector<std::string> kSubmit = {"submit", "--customer=a", "--key=k", "--pool=rendering"};

BOOST_AUTO_TEST_SUITE(ProgramTest)

// Guards against a command without a help page and a help page without a usage line.
BOOST_AUTO_TEST_CASE(EveryCommandHasItsHelpPage) {
  CliFixture cli;
  Expect(cli.Run({}), 0, HelpTexts().at("pomelotray"), "");
  Expect(cli.Run({"help"}), 0, HelpTexts().at("pomelotray"), "");
  BOOST_TEST(HelpTexts().size() == 13U);
  for (const auto& [name, text] : HelpTexts()) {
    Expect(cli.Run({"help", name}), 0, text, "");
    if (name != "pomelotray") {
      BOOST_TEST((MakeCommand(name) != nullptr), name);
      Expect(cli.Run({name, "--help"}), 0, text, "");
      BOOST_TEST(text.find("pomelotray " + name) != std::string::npos);
    }
  }
  Expect(cli.Run({"help", "fly"}), 2, "",
         "There is no help page \"fly\"; see \"pomelotray help\".\n");
}

// Guards against usage errors that reach the API or return the exit code of a failed call.
BOOST_AUTO_TEST_CASE(UsageMistakesExitWithTwo) {
  CliFixture cli;
  Expect(cli.Run({"fly"}), 2, "",
         "error: invalid_argument: Command \"fly\" does not exist; see \"pomelotray help\".\n");
  Expect(cli.Run({"--output=xml", "nodes"}), 2, "",
         "error: invalid_argument: --output is \"xml\"; use table or json.\n");
  Expect(cli.Run({"--address=here", "nodes"}), 2, "",
         "error: invalid_argument: The configuration is invalid: --address is \"here\" from the "
         "flag --address: use <ip>:<port>, several separated by commas.\n");
  Expect(cli.Run({"submit", "--key=k", "--pool=p", "--cpu=x"}), 2, "",
         "error: invalid_argument: --cpu is \"x\"; use a whole number.\n");
  BOOST_TEST(cli.Run({"status"}).code == 2);
  BOOST_TEST(cli.Run({"submit", "--key=k"}).code == 2);
  BOOST_TEST(cli.Run({"nodes", "--colour"}).code == 2);
  BOOST_TEST(cli.service.submissions() == 0);
}

// Guards against exit codes that do not distinguish rejections, conflicts and unknown outcomes.
BOOST_AUTO_TEST_CASE(ErrorsHaveTheirExitCodes) {
  CliFixture cli;
  cli.service.FailWith(
      Error{ErrorKind::kOverLimit, "The rate is used up; retry later.", absl::Milliseconds(1500)});
  Expect(cli.Run(kSubmit), 3, "",
         "error: over_limit: The rate is used up; retry later.\nRetry after 1500 ms.\n");
  const std::vector<std::pair<ErrorKind, int>> codes = {{ErrorKind::kInvalidArgument, 1},
                                                        {ErrorKind::kPermissionDenied, 1},
                                                        {ErrorKind::kNotFound, 1},
                                                        {ErrorKind::kUnplaceable, 3},
                                                        {ErrorKind::kDeadlineUnmeetable, 3},
                                                        {ErrorKind::kOwnerUnavailable, 3},
                                                        {ErrorKind::kStoreUnavailable, 3},
                                                        {ErrorKind::kNotReady, 3},
                                                        {ErrorKind::kOverloaded, 3},
                                                        {ErrorKind::kConflict, 5},
                                                        {ErrorKind::kIdempotencyMismatch, 5},
                                                        {ErrorKind::kOutcomeUnknown, 6},
                                                        {ErrorKind::kDeadlineExceeded, 1},
                                                        {ErrorKind::kInternal, 1}};
  for (const auto& [kind, code] : codes) {
    cli.service.FailWith(Error{kind, "It failed.", std::nullopt});
    Expect(cli.Run(kSubmit), code, "",
           "error: " + std::string(ErrorKindName(kind)) + ": It failed.\n");
  }
}

// Guards against failing a call while another configured instance can serve it.
BOOST_AUTO_TEST_CASE(NextAddressIsTried) {
  CliFixture serving;
  CliFixture not_ready;
  not_ready.service.FailWith(
      Error{ErrorKind::kNotReady, "No configuration yet.", absl::Seconds(1)});
  const UnresponsiveServer refusing(false);
  const UnresponsiveServer silent(true);
  const std::string addresses = "--address=" + refusing.address() + "," + not_ready.address + "," +
                                silent.address() + "," + serving.address;
  BOOST_TEST(
      serving.Run({addresses, "submit", "--customer=a", "--key=k", "--pool=rendering"}).code == 0);
  BOOST_TEST(serving.service.submissions() == 1);
  Expect(serving.Run({"--address=" + not_ready.address + "," + refusing.address(), "nodes"}), 3, "",
         "error: not_ready: No configuration yet.\nRetry after 1000 ms.\n");
  Expect(serving.Run({"--address=" + refusing.address(), "nodes"}), 4, "",
         "error: unavailable: No instance can be reached (last tried: " + refusing.address() +
             "); check --address and that pomelotrayd runs.\n");
}

// Guards against resending a non-repeatable call to another instance.
BOOST_AUTO_TEST_CASE(UnansweredNonRepeatableCallHasUnknownOutcome) {
  CliFixture serving;
  const UnresponsiveServer silent(true);
  Expect(serving.Run({"--address=" + silent.address() + "," + serving.address, "request",
                      "--customer=a", "--timeout=2s", "--once", "--body=cut", "counter"}),
         6, "",
         "error: outcome_unknown: The connection to " + silent.address() +
             " ended without a response; the call may have taken effect, so check its outcome "
             "before you repeat it.\n");
  BOOST_TEST(serving.service.last_request().body.empty());
}

// Guards against an unsent token and against printing control characters to the terminal.
BOOST_AUTO_TEST_CASE(TokenComesFromEnvironmentOrFlag) {
  CliFixture cli("secret-token");
  BOOST_TEST(cli.Run({"nodes"}).code == 1);
  BOOST_TEST(cli.Run({"--token=secret-token", "nodes"}).code == 0);
  cli.token = "secret-token";
  BOOST_TEST(cli.Run({"nodes"}).code == 0);
  cli.service.FailWith(Error{ErrorKind::kInternal, "a\x1b[2Jb", std::nullopt});
  Expect(cli.Run({"nodes"}), 1, "", "error: internal: a?[2Jb\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
