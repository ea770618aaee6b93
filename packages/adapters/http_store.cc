#include "adapters/http_store.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/store_codec.h"
#include "adapters/wire_json.h"

namespace pomelotray {
namespace {

boost::leaf::error_id Malformed(const char* path, ErrorKind kind) {
  return Fail(kind, absl::StrCat("The store's answer to ", path,
                                 " is malformed; check which program listens at its address."));
}

}  // namespace

Result<nlohmann::json> HttpStore::Read(const char* path, nlohmann::json body,
                                       absl::Duration extra_wait) {
  HttpCall call;
  call.path = path;
  call.body = std::move(body);
  call.timeout = channel_.options().call_timeout + extra_wait;
  call.no_effect = ErrorKind::kStoreUnavailable;
  call.no_answer = ErrorKind::kStoreUnavailable;
  return channel_.Call(channel_.options().address, call);
}

Result<nlohmann::json> HttpStore::Write(const char* path, nlohmann::json body) {
  HttpCall call;
  call.path = path;
  call.body = std::move(body);
  call.timeout = channel_.options().call_timeout;
  call.no_effect = ErrorKind::kStoreUnavailable;
  call.no_answer = ErrorKind::kOutcomeUnknown;
  return channel_.Call(channel_.options().address, call);
}

Result<std::optional<StoreEntry>> HttpStore::Get(const std::string& key) {
  BOOST_LEAF_AUTO(json, Read("/store/get", {{"key", key}}, absl::ZeroDuration()));
  std::optional<std::optional<StoreEntry>> entry = DecodeStoreGet(json);
  if (!entry || (entry->has_value() && (*entry)->key != key)) {
    return Malformed("/store/get", ErrorKind::kStoreUnavailable);
  }
  return std::move(*entry);
}

Result<std::vector<StoreEntry>> HttpStore::List(const std::string& prefix) {
  BOOST_LEAF_AUTO(json, Read("/store/list", {{"prefix", prefix}}, absl::ZeroDuration()));
  std::optional<std::vector<StoreEntry>> entries = DecodeStoreList(json);
  if (!entries) {
    return Malformed("/store/list", ErrorKind::kStoreUnavailable);
  }
  return std::move(*entries);
}

Result<Revision> HttpStore::CompareAndSwap(const std::string& key, Revision expected,
                                           const std::string& value,
                                           const std::optional<StoreLeaseId>& lease) {
  if (value.size() > kMaxStoreValueBytes) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The value of ", key, " has ", value.size(),
                             " bytes; the store accepts at most ", kMaxStoreValueBytes, "."));
  }
  nlohmann::json body = {
      {"key", key}, {"expected", expected.value()}, {"value", wire::ToBase64(value)}};
  if (lease.has_value()) {
    body["lease"] = lease->value();
  }
  BOOST_LEAF_AUTO(json, Write("/store/cas", std::move(body)));
  const std::optional<Revision> revision = DecodeStoreRevision(json);
  if (!revision) {
    return Malformed("/store/cas", ErrorKind::kOutcomeUnknown);
  }
  return *revision;
}

Result<void> HttpStore::Delete(const std::string& key, Revision expected) {
  BOOST_LEAF_CHECK(Write("/store/delete", {{"key", key}, {"expected", expected.value()}}));
  return {};
}

Result<WatchBatch> HttpStore::Watch(const std::string& prefix, Revision after,
                                    absl::Duration wait) {
  BOOST_LEAF_AUTO(
      json, Read("/store/watch",
                 {{"prefix", prefix}, {"after", after.value()}, {"wait_ms", wire::ToMillis(wait)}},
                 wait));
  std::optional<WatchBatch> batch = DecodeStoreWatch(json);
  if (!batch) {
    return Malformed("/store/watch", ErrorKind::kStoreUnavailable);
  }
  return std::move(*batch);
}

Result<StoreLeaseId> HttpStore::GrantLease(absl::Duration ttl) {
  BOOST_LEAF_AUTO(json, Write("/store/lease/grant", {{"ttl_ms", wire::ToMillis(ttl)}}));
  const std::optional<std::string> lease = wire::ReadString(json, "lease");
  if (!lease || lease->empty()) {
    return Malformed("/store/lease/grant", ErrorKind::kOutcomeUnknown);
  }
  return StoreLeaseId(*lease);
}

Result<void> HttpStore::KeepAlive(const StoreLeaseId& lease) {
  BOOST_LEAF_CHECK(Write("/store/lease/keepalive", {{"lease", lease.value()}}));
  return {};
}

Result<void> HttpStore::RevokeLease(const StoreLeaseId& lease) {
  BOOST_LEAF_CHECK(Write("/store/lease/revoke", {{"lease", lease.value()}}));
  return {};
}

}  // namespace pomelotray
