#include "daemon/metrics_exporter.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace pomelotray {
namespace {

constexpr absl::Duration kUpdateInterval = absl::Seconds(1);

const char* LinkClassName(LinkClass link) {
  switch (link) {
    case LinkClass::kDomain:
      return "domain";
    case LinkClass::kRegion:
      return "region";
    case LinkClass::kPaidLink:
      return "paid_link";
  }
  return "domain";
}

constexpr std::array<std::pair<StoreCallKind, const char*>, kStoreCallKindCount> kStoreKinds = {
    {{StoreCallKind::kRead, "read"},
     {StoreCallKind::kWrite, "write"},
     {StoreCallKind::kWatch, "watch"},
     {StoreCallKind::kLease, "lease"}}};

}  // namespace

MetricsExporter::MetricsExporter(prometheus::Registry* registry, const PeerClient* client,
                                 const PeerServer* server, const BudgetedStore* store,
                                 const ShardHost* host, const Clock* clock)
    : client_(client),
      server_(server),
      store_(store),
      host_(host),
      clock_(clock),
      peer_bytes_(prometheus::BuildGauge()
                      .Name("pomelotray_peer_bytes")
                      .Help("Bytes exchanged with other instances since the process started.")
                      .Register(*registry)),
      peer_messages_(prometheus::BuildGauge()
                         .Name("pomelotray_peer_messages")
                         .Help("Messages exchanged with other instances since the process started.")
                         .Register(*registry)),
      store_calls_(prometheus::BuildGauge()
                       .Name("pomelotray_store_calls")
                       .Help("Calls to the platform's store since the process started.")
                       .Register(*registry)),
      owned_shards_(prometheus::BuildGauge()
                        .Name("pomelotray_owned_shards")
                        .Help("Shards that this instance owns.")
                        .Register(*registry)
                        .Add({})),
      store_available_(prometheus::BuildGauge()
                           .Name("pomelotray_store_available")
                           .Help("1 while the platform's store is available, otherwise 0.")
                           .Register(*registry)
                           .Add({})) {}

MetricsExporter::~MetricsExporter() { Stop(); }

void MetricsExporter::Start() { thread_ = std::thread(&MetricsExporter::Run, this); }

void MetricsExporter::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void MetricsExporter::Run() {
  while (true) {
    Update();
    const absl::Time next = clock_->Now() + kUpdateInterval;
    absl::MutexLock lock(&mutex_);
    while (!stopping_ && !clock_->WaitUntil(&changed_, &mutex_, next)) {
    }
    if (stopping_) {
      return;
    }
  }
}

void MetricsExporter::Update() {
  UpdateTraffic(client_->traffic(), "client");
  UpdateTraffic(server_->traffic(), "server");
  for (const auto& [kind, name] : kStoreKinds) {
    store_calls_.Add({{"kind", name}}).Set(static_cast<double>(store_->CallCount(kind)));
  }
  owned_shards_.Set(static_cast<double>(host_->OwnedShards().size()));
  store_available_.Set(store_->Available() ? 1 : 0);
}

void MetricsExporter::UpdateTraffic(const TrafficCounters::Snapshot& traffic, const char* side) {
  for (const auto& [key, counts] : traffic) {
    const std::map<std::string, std::string> labels = {
        {"side", side}, {"method", key.first}, {"link", LinkClassName(key.second)}};
    std::map<std::string, std::string> sent = labels;
    sent["direction"] = "sent";
    std::map<std::string, std::string> received = labels;
    received["direction"] = "received";
    peer_bytes_.Add(sent).Set(static_cast<double>(counts.bytes_sent));
    peer_bytes_.Add(received).Set(static_cast<double>(counts.bytes_received));
    peer_messages_.Add(sent).Set(static_cast<double>(counts.messages_sent));
    peer_messages_.Add(received).Set(static_cast<double>(counts.messages_received));
  }
}

}  // namespace pomelotray
