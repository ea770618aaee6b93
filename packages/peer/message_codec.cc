#include "peer/message_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <vector>

#include "base/json_number.h"
#include "base/message_pack.h"

namespace pomelotray {
namespace {

constexpr size_t kProofSize = 16;
// One day. Callers wait this long, so a larger or negative number is ignored.
constexpr int64_t kMaxRetryMicros = int64_t{24} * 3600 * 1'000'000;
constexpr size_t kCallHeaderSize = 8 + 4 + kNonceSize + kProofSize;
constexpr size_t kReplyHeaderSize = 1 + 8 + kProofSize;
// Distinct first bytes keep a call's proof from being valid as a reply's.
constexpr char kCallTag = 'c';
constexpr char kReplyTag = 'r';

void AppendInteger(std::string* out, uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

uint64_t ReadInteger(std::string_view data) {
  uint64_t value = 0;
  for (const char c : data) {
    value = (value << 8) | static_cast<unsigned char>(c);
  }
  return value;
}

void AppendField(std::string* out, std::string_view field) {
  AppendInteger(out, field.size(), 4);
  out->append(field);
}

std::string Hmac(const std::string& key, std::string_view prefix, std::string_view payload) {
  std::string message(prefix);
  message.append(payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
       &size);
  return std::string(reinterpret_cast<const char*>(digest.data()), kProofSize);
}

bool SameProof(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string CallProof(const std::string& key, const CallEnvelope& call) {
  std::string prefix(1, kCallTag);
  AppendField(&prefix, call.method);
  AppendField(&prefix, call.sender);
  AppendField(&prefix, call.nonce);
  AppendInteger(&prefix, static_cast<uint64_t>(call.time.value()), 8);
  AppendInteger(&prefix, call.timeout_ms, 4);
  return Hmac(key, prefix, call.payload);
}

std::string ReplyProof(const std::string& key, const std::string& nonce,
                       const ReplyEnvelope& reply) {
  std::string prefix(1, kReplyTag);
  AppendField(&prefix, nonce);
  prefix.push_back(static_cast<char>(reply.kind));
  AppendInteger(&prefix, static_cast<uint64_t>(reply.time.value()), 8);
  return Hmac(key, prefix, reply.payload);
}

}  // namespace

std::string EncodeCall(const std::string& key, const CallEnvelope& call) {
  std::string data;
  data.reserve(kCallHeaderSize + call.payload.size());
  AppendInteger(&data, static_cast<uint64_t>(call.time.value()), 8);
  AppendInteger(&data, call.timeout_ms, 4);
  data.append(call.nonce);
  data.append(CallProof(key, call));
  data.append(call.payload);
  return data;
}

std::optional<CallEnvelope> DecodeCall(const std::string& key, std::string_view method,
                                       std::string_view sender, std::string_view data) {
  if (data.size() < kCallHeaderSize) {
    return std::nullopt;
  }
  CallEnvelope call;
  call.method = method;
  call.sender = sender;
  call.time = HybridTime(static_cast<int64_t>(ReadInteger(data.substr(0, 8))));
  call.timeout_ms = static_cast<uint32_t>(ReadInteger(data.substr(8, 4)));
  call.nonce = std::string(data.substr(12, kNonceSize));
  call.payload = data.substr(kCallHeaderSize);
  if (!SameProof(CallProof(key, call), data.substr(12 + kNonceSize, kProofSize))) {
    return std::nullopt;
  }
  return call;
}

std::string EncodeReply(const std::string& key, const std::string& nonce,
                        const ReplyEnvelope& reply) {
  std::string data;
  data.reserve(kReplyHeaderSize + reply.payload.size());
  data.push_back(static_cast<char>(reply.kind));
  AppendInteger(&data, static_cast<uint64_t>(reply.time.value()), 8);
  data.append(ReplyProof(key, nonce, reply));
  data.append(reply.payload);
  return data;
}

std::optional<ReplyEnvelope> DecodeReply(const std::string& key, const std::string& nonce,
                                         std::string_view data) {
  if (data.size() < kReplyHeaderSize ||
      static_cast<uint8_t>(data[0]) > static_cast<uint8_t>(ReplyKind::kStale)) {
    return std::nullopt;
  }
  ReplyEnvelope reply;
  reply.kind = static_cast<ReplyKind>(data[0]);
  reply.time = HybridTime(static_cast<int64_t>(ReadInteger(data.substr(1, 8))));
  reply.payload = data.substr(kReplyHeaderSize);
  if (!SameProof(ReplyProof(key, nonce, reply), data.substr(9, kProofSize))) {
    return std::nullopt;
  }
  return reply;
}

std::string RandomNonce() {
  std::string nonce(kNonceSize, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceSize);
  return nonce;
}

std::string EncodeBody(const nlohmann::json& body) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_msgpack(body);
  return std::string(bytes.begin(), bytes.end());
}

std::optional<nlohmann::json> DecodeBody(std::string_view data) {
  return ParseMessagePack(data, kMaxBodyDepth);
}

std::string EncodeError(const Error& error) {
  nlohmann::json json = {{"kind", std::string(ErrorKindName(error.kind))},
                         {"message", error.message}};
  if (error.retry_after.has_value()) {
    json["retry_after_us"] = absl::ToInt64Microseconds(*error.retry_after);
  }
  return EncodeBody(json);
}

std::optional<Error> DecodeError(std::string_view data) {
  const std::optional<nlohmann::json> json = DecodeBody(data);
  if (!json.has_value() || !json->is_object()) {
    return std::nullopt;
  }
  const auto kind = json->find("kind");
  const auto message = json->find("message");
  if (kind == json->end() || !kind->is_string() || message == json->end() ||
      !message->is_string()) {
    return std::nullopt;
  }
  const std::optional<ErrorKind> parsed = ParseErrorKind(kind->get_ref<const std::string&>());
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  Error error{*parsed, message->get<std::string>(), std::nullopt};
  const auto retry = json->find("retry_after_us");
  if (retry != json->end() && IsIntegerBetween(*retry, 0, kMaxRetryMicros)) {
    error.retry_after = absl::Microseconds(retry->get<int64_t>());
  }
  return error;
}

}  // namespace pomelotray
