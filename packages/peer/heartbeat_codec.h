#ifndef POMELOTRAY_PEER_HEARTBEAT_CODEC_H_
#define POMELOTRAY_PEER_HEARTBEAT_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "peer/member.h"

namespace pomelotray {

// Bytes of news, encoded as MessagePack, that one heartbeat may carry.
inline constexpr size_t kMaxNewsBytes = 512;

// Largest incarnation, version, sequence and revision in a heartbeat. Incarnations are times in
// Unix microseconds, so this is far in the future. An instance refutes a claim by counting up,
// which must not overflow.
inline constexpr int64_t kMaxIncarnation = int64_t{1} << 62;

// Shards that one description may name.
inline constexpr size_t kMaxShards = 64;

// News of one instance. Suspicion and death travel without the description.
struct News {
  Member member;
  bool has_description = false;
};

// One message of the exchange; request and reply are alike. It travels as a JSON array, because
// field names would double its size.
struct Heartbeat {
  InstanceId sender;
  int64_t incarnation = 0;
  // Grows with each message of an incarnation, so that a delayed one is recognized.
  int64_t sequence = 0;
  bool leaving = false;
  Revision revision;
  // Hash of the sender's own description, and of the receiver's as the sender knows it (0: not
  // known). A side sends its description only when the other does not know it.
  uint32_t own_hash = 0;
  uint32_t known_hash = 0;
  // Combined hash of the sender's table. While both sides' are equal no known entries are repeated.
  uint32_t table_digest = 0;
  std::vector<News> news;
  // Items of news that were left out because they are malformed.
  int malformed_news = 0;
};

nlohmann::json EncodeHeartbeat(const Heartbeat& heartbeat);
// Empty when `json` is not a heartbeat. Malformed items of news are left out and counted: a faulty
// item must not make its sender count as silent.
std::optional<Heartbeat> DecodeHeartbeat(const nlohmann::json& json);

nlohmann::json EncodeNews(const News& news);

// Hash of a member's description, incarnation and whether it is leaving; never 0.
uint32_t HashMember(const Member& member);

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_HEARTBEAT_CODEC_H_
