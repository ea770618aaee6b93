#include "peer/heartbeat_codec.h"

#include <array>
#include <limits>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/json_number.h"
#include "model/sha256.h"

namespace pomelotray {
namespace {

constexpr size_t kHeartbeatFields = 9;
constexpr size_t kBriefFields = 4;
constexpr size_t kFullFields = 9;
// Bounds the memory that a faulty peer can make the table use.
constexpr size_t kMaxNameSize = 128;
constexpr size_t kMaxNews = 64;
constexpr int kHashHexDigits = 8;

std::optional<std::string> ReadName(const nlohmann::json& json) {
  if (!json.is_string() || json.get_ref<const std::string&>().size() > kMaxNameSize) {
    return std::nullopt;
  }
  return json.get<std::string>();
}

std::optional<int64_t> ReadNumber(const nlohmann::json& json,
                                  int64_t max = std::numeric_limits<int64_t>::max()) {
  if (!IsIntegerBetween(json, 0, max)) {
    return std::nullopt;
  }
  return json.get<int64_t>();
}

std::optional<uint32_t> ReadHash(const nlohmann::json& json) {
  const std::optional<int64_t> number = ReadNumber(json);
  if (!number.has_value() || *number > UINT32_MAX) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(*number);
}

bool ReadShards(const nlohmann::json& json, Member* member) {
  if (!json.is_array() || json.size() > kMaxShards) {
    return false;
  }
  for (const nlohmann::json& item : json) {
    const std::optional<std::string> name = ReadName(item);
    if (!name.has_value()) {
      return false;
    }
    // A shard of the owner's own domain, which most are, is written as its pool only.
    const std::optional<ShardId> shard = name->find('/') == std::string::npos
                                             ? ShardId{member->domain, PoolName(*name)}
                                             : ShardId::Parse(*name);
    if (!shard.has_value()) {
      return false;
    }
    member->owned_shards.push_back(*shard);
  }
  return true;
}

bool ReadDescription(const nlohmann::json& json, Member* member) {
  std::array<std::string, 4> texts;
  for (size_t i = 0; i < texts.size(); ++i) {
    std::optional<std::string> text = ReadName(json[kBriefFields + i]);
    if (!text.has_value()) {
      return false;
    }
    texts[i] = *std::move(text);
  }
  member->domain = FailureDomainId(texts[0]);
  member->region = RegionId(texts[1]);
  member->peer_address = texts[2];
  member->api_address = texts[3];
  return ReadShards(json[kBriefFields + texts.size()], member);
}

std::optional<News> DecodeNews(const nlohmann::json& json) {
  if (!json.is_array() || (json.size() != kBriefFields && json.size() != kFullFields)) {
    return std::nullopt;
  }
  const std::optional<std::string> id = ReadName(json[0]);
  const std::optional<int64_t> incarnation = ReadNumber(json[1], kMaxIncarnation);
  const std::optional<int64_t> version = ReadNumber(json[2], kMaxIncarnation);
  const std::optional<int64_t> state = ReadNumber(json[3]);
  if (!id.has_value() || id->empty() || !incarnation.has_value() || !version.has_value() ||
      !state.has_value() || *state > static_cast<int64_t>(MemberState::kDead)) {
    return std::nullopt;
  }
  News news;
  news.member.id = InstanceId(*id);
  news.member.incarnation = *incarnation;
  news.member.version = *version;
  news.member.state = static_cast<MemberState>(*state);
  news.has_description = json.size() == kFullFields;
  if (news.has_description && !ReadDescription(json, &news.member)) {
    return std::nullopt;
  }
  return news;
}

std::string ShardText(const ShardId& shard, const Member& member) {
  return shard.domain == member.domain ? shard.pool.value() : shard.ToString();
}

}  // namespace

nlohmann::json EncodeNews(const News& news) {
  const Member& member = news.member;
  nlohmann::json json = {member.id.value(), member.incarnation, member.version,
                         static_cast<int>(member.state)};
  if (news.has_description) {
    json.push_back(member.domain.value());
    json.push_back(member.region.value());
    json.push_back(member.peer_address);
    json.push_back(member.api_address);
    nlohmann::json shards = nlohmann::json::array();
    for (const ShardId& shard : member.owned_shards) {
      shards.push_back(ShardText(shard, member));
    }
    json.push_back(std::move(shards));
  }
  return json;
}

nlohmann::json EncodeHeartbeat(const Heartbeat& heartbeat) {
  nlohmann::json news = nlohmann::json::array();
  for (const News& item : heartbeat.news) {
    news.push_back(EncodeNews(item));
  }
  return nlohmann::json::array({heartbeat.sender.value(), heartbeat.incarnation, heartbeat.sequence,
                                heartbeat.leaving ? 1 : 0, heartbeat.revision.value(),
                                heartbeat.own_hash, heartbeat.known_hash, heartbeat.table_digest,
                                std::move(news)});
}

std::optional<Heartbeat> DecodeHeartbeat(const nlohmann::json& json) {
  if (!json.is_array() || json.size() != kHeartbeatFields || !json[8].is_array() ||
      json[8].size() > kMaxNews) {
    return std::nullopt;
  }
  const std::optional<std::string> sender = ReadName(json[0]);
  std::array<int64_t, 4> numbers{};
  for (size_t i = 0; i < numbers.size(); ++i) {
    const std::optional<int64_t> number = ReadNumber(json[1 + i], kMaxIncarnation);
    if (!number.has_value()) {
      return std::nullopt;
    }
    numbers[i] = *number;
  }
  std::array<uint32_t, 3> hashes{};
  for (size_t i = 0; i < hashes.size(); ++i) {
    const std::optional<uint32_t> hash = ReadHash(json[5 + i]);
    if (!hash.has_value()) {
      return std::nullopt;
    }
    hashes[i] = *hash;
  }
  if (!sender.has_value() || sender->empty()) {
    return std::nullopt;
  }
  Heartbeat heartbeat;
  heartbeat.sender = InstanceId(*sender);
  heartbeat.incarnation = numbers[0];
  heartbeat.sequence = numbers[1];
  heartbeat.leaving = numbers[2] != 0;
  heartbeat.revision = Revision(numbers[3]);
  heartbeat.own_hash = hashes[0];
  heartbeat.known_hash = hashes[1];
  heartbeat.table_digest = hashes[2];
  for (const nlohmann::json& item : json[8]) {
    std::optional<News> news = DecodeNews(item);
    if (news.has_value()) {
      heartbeat.news.push_back(*std::move(news));
    } else {
      ++heartbeat.malformed_news;
    }
  }
  return heartbeat;
}

uint32_t HashMember(const Member& member) {
  News news{member, true};
  // Suspicion and death are opinions about a member and not part of its description.
  const bool leaving = member.state == MemberState::kLeaving;
  news.member.state = leaving ? MemberState::kLeaving : MemberState::kLive;
  // Bytes that are not UTF-8 are replaced, because dump() would throw on them.
  const std::string text =
      EncodeNews(news).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  uint32_t hash = 0;
  if (!absl::SimpleHexAtoi(Sha256Hex(text).substr(0, kHashHexDigits), &hash) || hash == 0) {
    return 1;
  }
  return hash;
}

}  // namespace pomelotray
