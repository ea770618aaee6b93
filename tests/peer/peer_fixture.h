#ifndef POMELOTRAY_TESTS_PEER_PEER_FIXTURE_H_
#define POMELOTRAY_TESTS_PEER_PEER_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>

#include "base/system_clock.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace pomelotray {

// One side of a conversation: clocks and an event log of its own.
struct PeerSide {
  explicit PeerSide(const std::string& name) : id(name), hybrid(&clock), events(name, &hybrid) {}

  InstanceId id;
  SystemClock clock;
  HybridClock hybrid;
  EventLog events;
};

// Builds servers and clients on loopback.
struct PeerFixture {
  std::unique_ptr<PeerServer> Serve(PeerHandler handler, const PeerLimits& limits = {}) {
    return Must(PeerServer::Builder()
                    .ListenAddress("127.0.0.1:0")
                    .Instance(server_side.id)
                    .SharedKey("key")
                    .Time(&server_side.hybrid, &server_side.clock)
                    .Events(&server_side.events)
                    .Handler(std::move(handler))
                    .Limits(limits));
  }

  std::unique_ptr<PeerClient> Connect(const std::string& key = "key",
                                      const PeerLimits& limits = {}) {
    return Must(PeerClient::Builder()
                    .Instance(client_side.id)
                    .SharedKey(key)
                    .Time(&client_side.hybrid, &client_side.clock)
                    .Events(&client_side.events)
                    .Limits(limits));
  }

  static std::string AddressOf(const PeerServer& server) {
    return "127.0.0.1:" + std::to_string(server.port());
  }

  static Outcome<nlohmann::json> Call(PeerClient* client, const std::string& address,
                                      const nlohmann::json& body,
                                      absl::Duration timeout = absl::Seconds(20),
                                      const std::string& method = "request") {
    return Capture([&] { return client->Call(address, method, body, timeout); });
  }

  // The name of the error's kind, or "ok".
  static std::string KindOf(const Outcome<nlohmann::json>& outcome) {
    return outcome.ok() ? "ok" : std::string(ErrorKindName(outcome.error().kind));
  }

  static Result<nlohmann::json> Echo(const PeerCall& call) { return call.body; }

  PeerSide server_side{"server"};
  PeerSide client_side{"client"};

 private:
  template <typename Builder>
  static auto Must(Builder& builder) -> std::decay_t<decltype(builder.Build().value())> {
    std::decay_t<decltype(builder.Build().value())> built;
    const Outcome<void> outcome = Capture([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(built, builder.Build());
      return {};
    });
    if (!outcome.ok()) {
      throw std::runtime_error(outcome.error().message);
    }
    return built;
  }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_PEER_PEER_FIXTURE_H_
