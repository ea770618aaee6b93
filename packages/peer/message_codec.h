#ifndef POMELOTRAY_PEER_MESSAGE_CODEC_H_
#define POMELOTRAY_PEER_MESSAGE_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/hybrid_clock.h"

namespace pomelotray {

// A call as it travels in the DATA frames of a stream: hybrid time (8 bytes), remaining timeout in
// ms (4), nonce (8), proof (16), then the MessagePack body. Integers are big-endian. The method is
// in :path and the sender in the "from" header, where HPACK indexing makes repeats nearly free.
// Binary fields stay out of the headers because they never repeat and would flush the HPACK table.
struct CallEnvelope {
  std::string_view method;
  std::string_view sender;
  HybridTime time;
  uint32_t timeout_ms = 0;
  std::string nonce;
  std::string_view payload;
};

// An unproven reply carries no envelope; see kStatusUnauthenticated.
enum class ReplyKind : uint8_t {
  kBody = 0,
  kError = 1,
  // The call's time stamp was too old; it was not processed. The reply's own stamp is the remedy.
  kStale = 2,
};

struct ReplyEnvelope {
  ReplyKind kind = ReplyKind::kBody;
  HybridTime time;
  std::string_view payload;
};

inline constexpr char kPathPrefix[] = "/peer/";
inline constexpr char kStatusOk[] = "200";
inline constexpr char kStatusUnauthenticated[] = "401";
inline constexpr size_t kNonceSize = 8;

// Both sides' messages with a proof of the shared key: HMAC-SHA-256 truncated to 128 bits (RFC
// 4868), which halves its share of the measured control bytes.
std::string EncodeCall(const std::string& key, const CallEnvelope& call);
// Reads the envelope in `data`, to which the result refers. Empty when it is too short or its proof
// does not match `key`.
std::optional<CallEnvelope> DecodeCall(const std::string& key, std::string_view method,
                                       std::string_view sender, std::string_view data);
// The proof of a reply covers the nonce of its call, so a reply cannot be replayed to another call.
std::string EncodeReply(const std::string& key, const std::string& nonce,
                        const ReplyEnvelope& reply);
std::optional<ReplyEnvelope> DecodeReply(const std::string& key, const std::string& nonce,
                                         std::string_view data);

std::string RandomNonce();

std::string EncodeBody(const nlohmann::json& body);
// Empty when `data` is not one complete MessagePack value, or when it nests deeper than
// kMaxBodyDepth.
std::optional<nlohmann::json> DecodeBody(std::string_view data);
// The MessagePack reader recurses; 1 MiB of nested arrays would overflow the thread's stack.
inline constexpr int kMaxBodyDepth = 64;

std::string EncodeError(const Error& error);
std::optional<Error> DecodeError(std::string_view data);

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_MESSAGE_CODEC_H_
