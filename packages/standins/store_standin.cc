#include "standins/store_standin.h"

#include <utility>

#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

StandinResponse BadRequest() {
  return Refuse(400, "invalid_argument", "A field is missing or has the wrong type.");
}

StandinResponse FromStatus(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return StandinResponse{};
    case StoreStatus::kConflict:
      return Refuse(409, "conflict", "The key has a different revision; read it again.");
    case StoreStatus::kTooLarge:
      return Refuse(413, "invalid_argument", "The value is longer than 1000000 bytes.");
    case StoreStatus::kNoLease:
      return Refuse(404, "not_found",
                    "The lease has expired or does not exist; request a new one.");
  }
  return Refuse(500, "internal", "The store stand-in returned an unknown status.");
}

nlohmann::json Encode(const StoreEntry& entry) {
  return {{"key", entry.key},
          {"value", wire::ToBase64(entry.value)},
          {"revision", entry.revision.value()}};
}

nlohmann::json Encode(const std::vector<StoreEntry>& entries) {
  nlohmann::json array = nlohmann::json::array();
  for (const StoreEntry& entry : entries) {
    array.push_back(Encode(entry));
  }
  return array;
}

}  // namespace

StoreStandin::StoreStandin(const Clock* clock, HybridClock* hybrid_clock)
    : state_(clock), server_(clock, hybrid_clock) {
  Add("get", "/store/get", &StoreStandin::Get);
  Add("list", "/store/list", &StoreStandin::List);
  Add("cas", "/store/cas", &StoreStandin::CompareAndSwap);
  Add("delete", "/store/delete", &StoreStandin::Delete);
  Add("watch", "/store/watch", &StoreStandin::Watch);
  Add("lease_grant", "/store/lease/grant", &StoreStandin::GrantLease);
  Add("lease_keepalive", "/store/lease/keepalive", &StoreStandin::KeepAlive);
  Add("lease_revoke", "/store/lease/revoke", &StoreStandin::RevokeLease);
  server_.HandleControl("GET", "/counts", [this](const StandinRequest&) {
    return StandinResponse{200, Counts()};
  });
}

void StoreStandin::Stop() {
  state_.Shutdown();
  server_.Stop();
}

void StoreStandin::Add(const std::string& kind, const std::string& path, Method method) {
  {
    absl::MutexLock lock(&mutex_);
    counts_[kind] = 0;
  }
  server_.Handle("POST", path, [this, kind, method](const StandinRequest& request) {
    {
      absl::MutexLock lock(&mutex_);
      ++counts_[kind];
    }
    return (this->*method)(request.body);
  });
}

int64_t StoreStandin::CallCount(const std::string& kind) const {
  absl::MutexLock lock(&mutex_);
  const auto it = counts_.find(kind);
  return it == counts_.end() ? 0 : it->second;
}

nlohmann::json StoreStandin::Counts() const {
  absl::MutexLock lock(&mutex_);
  return counts_;
}

StandinResponse StoreStandin::Get(const nlohmann::json& body) {
  const std::optional<std::string> key = wire::ReadString(body, "key");
  if (!key) {
    return BadRequest();
  }
  const std::optional<StoreEntry> entry = state_.Get(*key);
  return StandinResponse{200, {{"entry", entry ? Encode(*entry) : nlohmann::json(nullptr)}}};
}

StandinResponse StoreStandin::List(const nlohmann::json& body) {
  const std::optional<std::string> prefix = wire::ReadString(body, "prefix");
  if (!prefix) {
    return BadRequest();
  }
  return StandinResponse{200, {{"entries", Encode(state_.List(*prefix))}}};
}

StandinResponse StoreStandin::CompareAndSwap(const nlohmann::json& body) {
  const std::optional<std::string> key = wire::ReadString(body, "key");
  const std::optional<int64_t> expected = wire::ReadInt(body, "expected");
  const std::optional<std::string> value = wire::ReadBytes(body, "value");
  if (!key || !expected || !value) {
    return BadRequest();
  }
  Revision revision;
  const StoreStatus status = state_.CompareAndSwap(
      *key, Revision(*expected), *value, wire::ReadString(body, "lease").value_or(""), &revision);
  StandinResponse response = FromStatus(status);
  if (status == StoreStatus::kOk) {
    response.body["revision"] = revision.value();
  }
  return response;
}

StandinResponse StoreStandin::Delete(const nlohmann::json& body) {
  const std::optional<std::string> key = wire::ReadString(body, "key");
  const std::optional<int64_t> expected = wire::ReadInt(body, "expected");
  if (!key || !expected) {
    return BadRequest();
  }
  return FromStatus(state_.Delete(*key, Revision(*expected)));
}

StandinResponse StoreStandin::Watch(const nlohmann::json& body) {
  const std::optional<std::string> prefix = wire::ReadString(body, "prefix");
  const std::optional<int64_t> after = wire::ReadInt(body, "after");
  const std::optional<absl::Duration> wait = wire::ReadMillis(body, "wait_ms");
  if (!prefix || !after || !wait) {
    return BadRequest();
  }
  const WatchBatch batch = state_.Watch(*prefix, Revision(*after), *wait);
  return StandinResponse{200,
                         {{"changed", Encode(batch.changed)},
                          {"deleted", batch.deleted},
                          {"next", batch.next.value()}}};
}

StandinResponse StoreStandin::GrantLease(const nlohmann::json& body) {
  const std::optional<absl::Duration> ttl = wire::ReadMillis(body, "ttl_ms");
  if (!ttl || *ttl == absl::ZeroDuration()) {
    return BadRequest();
  }
  return StandinResponse{200, {{"lease", state_.GrantLease(*ttl)}}};
}

StandinResponse StoreStandin::KeepAlive(const nlohmann::json& body) {
  return FromStatus(state_.KeepAlive(wire::ReadString(body, "lease").value_or("")));
}

StandinResponse StoreStandin::RevokeLease(const nlohmann::json& body) {
  return FromStatus(state_.RevokeLease(wire::ReadString(body, "lease").value_or("")));
}

}  // namespace pomelotray
