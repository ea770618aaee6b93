#include "tests/soak/soak_caller.h"

#include <httplib.h>

#include "absl/time/clock.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr absl::Duration kCallTimeout = absl::Seconds(3);
constexpr int kMaxAttempts = 4;

}  // namespace

int RandomBelow(std::mt19937* random, int below) {
  return static_cast<int>((*random)() % static_cast<unsigned>(below));
}

SoakCaller::SoakCaller(const InstanceGroup* instances, RunHistory* history)
    : instances_(instances), history_(history) {}

SoakCaller::~SoakCaller() = default;

httplib::Client& SoakCaller::ConnectionTo(int instance) const {
  absl::MutexLock lock(&mutex_);
  std::unique_ptr<httplib::Client>& connection =
      connections_[{std::this_thread::get_id(), instance}];
  if (connection == nullptr) {
    connection = std::make_unique<httplib::Client>("http://" + instances_->front_address(instance));
    connection->set_keep_alive(true);
    connection->set_connection_timeout(absl::ToChronoMicroseconds(kCallTimeout));
    connection->set_read_timeout(absl::ToChronoMicroseconds(kCallTimeout));
  }
  return *connection;
}

void SoakCaller::Submit(const std::string& prefix, const std::string& id,
                        const std::string& payload, const json& steps, std::mt19937* random) const {
  history_->Submitted(id, payload);
  bool never_stored = true;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const int instance = RandomBelow(random, instances_->size());
    const httplib::Result result = ConnectionTo(instance).Post(
        prefix + id, {{"Host", kSoakHost}}, json{{"spec", payload}, {"steps", steps}}.dump(),
        "application/json");
    if (result && result->status == 200) {
      history_->Accepted(id);
      return;
    }
    const bool refused = result && (result->status == 503 || result->status == 429);
    const bool not_sent = !result && result.error() == httplib::Error::Connection;
    never_stored = never_stored && (refused || not_sent);
    absl::SleepFor(absl::Milliseconds(200));
  }
  if (never_stored) {
    history_->Refused(id);
  }
}

int SoakCaller::SubmitOnce(const std::string& prefix, const std::string& id,
                           const std::string& payload, const json& steps, absl::Duration wait,
                           int instance) const {
  history_->Submitted(id, payload);
  const httplib::Headers headers = {
      {"Host", kSoakHost},
      {"X-Pomelotray-Deadline-Ms", std::to_string(absl::ToInt64Milliseconds(wait))}};
  const httplib::Result result = ConnectionTo(instance).Post(
      prefix + id, headers, json{{"spec", payload}, {"steps", steps}}.dump(), "application/json");
  if (result && result->status == 200) {
    history_->Accepted(id);
  }
  return result ? result->status : 0;
}

bool SoakCaller::Cancel(const std::string& prefix, const std::string& id, int instance) const {
  const httplib::Result result = ConnectionTo(instance).Delete(prefix + id, {{"Host", kSoakHost}});
  const bool answered = result && (result->status == 200 || result->status == 410);
  if (answered) {
    history_->CancelAcknowledged(id);
  }
  return answered;
}

std::string SoakCaller::StateOf(const std::string& prefix, const std::string& id,
                                int instance) const {
  const httplib::Result result = ConnectionTo(instance).Get(prefix + id, {{"Host", kSoakHost}});
  if (!result) {
    return "no answer";
  }
  const json body = json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  return result->status == 200 && body.is_object() ? body.value("state", "")
                                                   : std::to_string(result->status);
}

}  // namespace pomelotray
