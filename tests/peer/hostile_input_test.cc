#include <rapidcheck.h>
#include <sys/socket.h>

#include <atomic>
#include <limits>
#include <optional>
#include <thread>
#include <vector>

#include "boost/test/unit_test.hpp"
#include "peer/heartbeat_codec.h"
#include "peer/message_codec.h"
#include "tests/peer/peer_fixture.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);
constexpr char kPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr char kEmptySettings[] = "\0\0\0\x04\0\0\0\0\0";

// A client that writes raw bytes.
class RawClient {
 public:
  explicit RawClient(const std::string& address) {
    const Outcome<void> opened = Capture([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(socket_, BeginConnect(address));
      return {};
    });
    BOOST_TEST_REQUIRE(opened.ok());
    BOOST_TEST_REQUIRE(WaitFor(socket_, false, true, &wake_, kBound).writable);
  }

  void Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          send(socket_.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0 && !WaitFor(socket_, false, true, &wake_, kBound).writable) {
        return;
      }
      if (size <= 0 && SocketError(socket_) != 0) {
        return;
      }
      sent += static_cast<size_t>(std::max<ssize_t>(size, 0));
    }
  }

  void HalfClose() { shutdown(socket_.get(), SHUT_WR); }

  // Reads until the server closes; false when it does not within the bound.
  bool ReadToEnd() {
    std::vector<char> buffer(4096);
    const absl::Time deadline = absl::Now() + kBound;
    while (absl::Now() < deadline) {
      WaitFor(socket_, true, false, &wake_, absl::Seconds(1));
      const ssize_t size = recv(socket_.get(), buffer.data(), buffer.size(), 0);
      if (size == 0 || (size < 0 && errno != EAGAIN)) {
        return true;
      }
    }
    return false;
  }

 private:
  FileDescriptor socket_;
  WakeEvent wake_;
};

std::string Preface() {
  return std::string(kPreface, sizeof(kPreface) - 1) +
         std::string(kEmptySettings, sizeof(kEmptySettings) - 1);
}

// A frame whose type, flags and stream are plausible and whose payload is arbitrary.
std::string RandomFrame() {
  const std::string payload = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  std::string frame(3, '\0');
  frame[1] = static_cast<char>((payload.size() >> 8) & 0xff);
  frame[2] = static_cast<char>(payload.size() & 0xff);
  frame.push_back(static_cast<char>(*rc::gen::inRange(0, 11)));
  frame.push_back(*rc::gen::arbitrary<char>());
  frame.append(3, '\0');
  frame.push_back(static_cast<char>(*rc::gen::inRange(0, 6)));
  return frame + payload;
}

std::string Mutate(std::string bytes) {
  const int mutations = *rc::gen::inRange(1, 6);
  for (int i = 0; i < mutations && !bytes.empty(); ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        bytes[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        bytes.resize(at);
        break;
      default:
        bytes.insert(at, 1, *rc::gen::arbitrary<char>());
    }
  }
  return bytes;
}

nlohmann::json SampleHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = InstanceId("entry-1");
  heartbeat.incarnation = 1'700'000'000'000'000;
  heartbeat.sequence = 300;
  heartbeat.own_hash = 0xfedcba98;
  Member member;
  member.id = InstanceId("entry-2");
  member.domain = FailureDomainId("cuenca");
  member.peer_address = "127.0.0.1:7000";
  member.owned_shards = {{FailureDomainId("cuenca"), PoolName("rendering")},
                         {FailureDomainId("azogues"), PoolName("counter")}};
  heartbeat.news = {News{member, true}, News{member, false}};
  return EncodeHeartbeat(heartbeat);
}

struct HostileFixture : PeerFixture {
  // True once the server holds no connection and no bytes of messages.
  bool Drained(const PeerServer& server) {
    const absl::Time deadline = absl::Now() + kBound;
    while (absl::Now() < deadline) {
      if (server.open_connections() == 0 && server.buffered_bytes() == 0) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
  }
};

BOOST_FIXTURE_TEST_SUITE(HostileInputTest, HostileFixture)

// Guards against bytes of a stranger that crash or hang the server, or stay in its memory.
BOOST_AUTO_TEST_CASE(RandomBytesNeitherCrashNorAccumulate) {
  const std::unique_ptr<PeerServer> server = Serve(Echo);
  BOOST_TEST(rc::check("the server closes after any input", [&] {
    RawClient raw(AddressOf(*server));
    std::string bytes = *rc::gen::element(Preface(), std::string());
    const int frames = *rc::gen::inRange(0, 8);
    for (int i = 0; i < frames; ++i) {
      bytes += RandomFrame();
    }
    raw.Send(bytes + *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    raw.HalfClose();
    RC_ASSERT(raw.ReadToEnd());
  }));
  BOOST_TEST(Drained(*server));
  const std::unique_ptr<PeerClient> client = Connect();
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), 1)) == "ok");
}

// Guards against decoders that crash on, or accept, altered messages.
BOOST_AUTO_TEST_CASE(MutatedMessagesAreDecodedOrRefused) {
  const std::string heartbeat = EncodeBody(SampleHeartbeat());
  const std::string error = EncodeError(Error{ErrorKind::kConflict, "m", absl::Seconds(1)});
  BOOST_TEST(rc::check("decoders survive", [&] {
    const std::optional<nlohmann::json> body = DecodeBody(Mutate(heartbeat));
    if (body.has_value()) {
      const std::optional<Heartbeat> decoded = DecodeHeartbeat(*body);
      if (decoded.has_value()) {
        // What was accepted can be passed on.
        RC_ASSERT(DecodeHeartbeat(EncodeHeartbeat(*decoded)).has_value());
        for (const News& news : decoded->news) {
          RC_ASSERT(HashMember(news.member) != 0U);
        }
      }
    }
    DecodeError(Mutate(error));
  }));
  CallEnvelope call;
  call.nonce = RandomNonce();
  call.payload = heartbeat;
  const std::string sealed = EncodeCall("key", call);
  BOOST_TEST(rc::check("no altered call is proven", [&] {
    const std::string altered = Mutate(sealed);
    RC_PRE(altered != sealed);
    RC_ASSERT(!DecodeCall("key", "", "", altered).has_value());
    RC_ASSERT(!DecodeReply("key", call.nonce, altered).has_value());
  }));
}

// Guards against a stack overflow in the recursive MessagePack reader, and against lengths that
// promise more than the message holds.
BOOST_AUTO_TEST_CASE(DeepAndOverstatedBodiesAreRefused) {
  BOOST_TEST(!DecodeBody(std::string(1 << 20, '\x91')).has_value());
  BOOST_TEST(!DecodeBody(std::string("\xdd\xff\xff\xff\xff", 5)).has_value());
  BOOST_TEST(!DecodeBody(std::string("\xdb\xff\xff\xff\xff", 5)).has_value());
  BOOST_TEST(!DecodeBody("").has_value());
  BOOST_TEST(!DecodeBody(std::string("\x01\x02", 2)).has_value());
}

// Guards against half-open connections that are held for ever: silent ones, ones that stop within
// a frame, and ones that send settings but no call.
BOOST_AUTO_TEST_CASE(HalfOpenConnectionsAreClosed) {
  PeerLimits limits;
  limits.handshake_timeout = absl::Milliseconds(50);
  const std::unique_ptr<PeerServer> server = Serve(Echo, limits);
  RawClient silent(AddressOf(*server));
  RawClient settled(AddressOf(*server));
  settled.Send(Preface());
  RawClient truncated(AddressOf(*server));
  truncated.Send(Preface() + std::string("\0\0\x10\x01", 4));
  BOOST_TEST(silent.ReadToEnd());
  BOOST_TEST(settled.ReadToEnd());
  BOOST_TEST(truncated.ReadToEnd());
  BOOST_TEST(Drained(*server));
}

// Guards against unbounded connections: those beyond the limit are closed at once, and there is
// room again when the others have gone.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded) {
  PeerLimits limits;
  limits.max_connections = 4;
  limits.handshake_timeout = absl::Seconds(1);
  const std::unique_ptr<PeerServer> server = Serve(Echo, limits);
  std::vector<std::unique_ptr<RawClient>> strangers;
  strangers.reserve(12);
  for (int i = 0; i < 12; ++i) {
    strangers.push_back(std::make_unique<RawClient>(AddressOf(*server)));
  }
  BOOST_TEST(server->open_connections() <= 4U);
  for (const std::unique_ptr<RawClient>& stranger : strangers) {
    BOOST_TEST(stranger->ReadToEnd());
  }
  BOOST_TEST(Drained(*server));
  const std::unique_ptr<PeerClient> client = Connect();
  std::string kind;
  const absl::Time deadline = absl::Now() + kBound;
  while (kind != "ok" && absl::Now() < deadline) {
    kind = KindOf(Call(client.get(), AddressOf(*server), 1));
  }
  BOOST_TEST(kind == "ok");
}

// Guards against a server whose own limit is smaller than a caller's: an oversized body is dropped
// unprocessed, and its bytes are given back.
BOOST_AUTO_TEST_CASE(OversizedBodyIsRefusedUnprocessed) {
  std::atomic<int> handled{0};
  PeerLimits limits;
  limits.max_body_bytes = 1000;
  const std::unique_ptr<PeerServer> server = Serve(
      [&handled](const PeerCall&) -> Result<nlohmann::json> {
        ++handled;
        return nlohmann::json();
      },
      limits);
  const std::unique_ptr<PeerClient> client = Connect();
  const std::string kind =
      KindOf(Call(client.get(), AddressOf(*server), std::string(500'000, 'x')));
  BOOST_TEST(kind == "unavailable");
  BOOST_TEST(handled == 0);
  BOOST_TEST(KindOf(Call(client.get(), AddressOf(*server), "small")) == "ok");
  client->Stop();
  BOOST_TEST(Drained(*server));
}

// Guards against a recorded call that is accepted a second time.
BOOST_AUTO_TEST_CASE(ReplayedCallIsRefused) {
  ReplayWindow window;
  const HybridTime now = client_side.hybrid.Tick();
  const auto later = [now](absl::Duration by) {
    return now + HybridTime(absl::ToInt64Microseconds(by) << 16);
  };
  BOOST_TEST((window.Check(now, now, "nonce-1") == ReplayWindow::Verdict::kFresh));
  BOOST_TEST((window.Check(now, now, "nonce-1") == ReplayWindow::Verdict::kReplayed));
  BOOST_TEST(
      (window.Check(now, later(absl::Seconds(31)), "nonce-2") == ReplayWindow::Verdict::kStale));
  BOOST_TEST(
      (window.Check(later(absl::Hours(2)), now, "nonce-3") == ReplayWindow::Verdict::kAhead));
  // A full window forgets the oldest, which must not become acceptable again.
  for (size_t i = 0; i <= ReplayWindow::kCapacity; ++i) {
    window.Check(later(absl::Microseconds(i + 1)), now, "filler-" + std::to_string(i));
  }
  BOOST_TEST((window.Check(now, now, "nonce-1") == ReplayWindow::Verdict::kStale));
}

// Guards against a caller that repeats without a pause, or waits for years, because of a peer's
// error.
BOOST_AUTO_TEST_CASE(RetryTimesOutOfRangeAreIgnored) {
  const auto decode = [](const nlohmann::json& micros) {
    return DecodeError(
        EncodeBody({{"kind", "overloaded"}, {"message", "m"}, {"retry_after_us", micros}}));
  };
  BOOST_TEST((decode(5'000'000).value().retry_after == absl::Seconds(5)));
  for (const nlohmann::json& micros :
       {nlohmann::json(-1), nlohmann::json(std::numeric_limits<int64_t>::min()),
        nlohmann::json(std::numeric_limits<int64_t>::max()),
        nlohmann::json(std::numeric_limits<uint64_t>::max()), nlohmann::json(1e300)}) {
    const std::optional<Error> error = decode(micros);
    BOOST_TEST_REQUIRE(error.has_value());
    BOOST_TEST(!error->retry_after.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace pomelotray
