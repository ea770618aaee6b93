#include "standins/fault_injector.h"

#include <map>

#include "adapters/wire_json.h"

namespace pomelotray {

std::string FaultInjector::Set(const nlohmann::json& setting) {
  static const std::map<std::string, FaultMode>* const kModes =
      new std::map<std::string, FaultMode>{
          {"none", FaultMode::kNone},          {"down", FaultMode::kDown},
          {"slow", FaultMode::kSlow},          {"lose_answers", FaultMode::kLoseAnswers},
          {"truncate", FaultMode::kTruncate},  {"delay", FaultMode::kDelay},
          {"misdirect", FaultMode::kMisdirect}};
  const auto mode = kModes->find(wire::ReadString(setting, "mode").value_or(""));
  if (mode == kModes->end()) {
    return "Field mode must be none, down, slow, lose_answers, truncate, delay or misdirect.";
  }
  double probability = 1;
  if (setting.contains("probability")) {
    if (!setting["probability"].is_number()) {
      return "Field probability must be a number from 0 to 1.";
    }
    probability = setting["probability"].get<double>();
  }
  const absl::Duration duration =
      wire::ReadMillis(setting, "duration_ms").value_or(absl::ZeroDuration());
  absl::MutexLock lock(&mutex_);
  mode_ = mode->second;
  probability_ = probability;
  delay_ = wire::ReadMillis(setting, "delay_ms").value_or(absl::ZeroDuration());
  until_ = duration > absl::ZeroDuration() ? clock_->Now() + duration : absl::InfiniteFuture();
  return "";
}

FaultPlan FaultInjector::Draw() {
  absl::MutexLock lock(&mutex_);
  if (mode_ == FaultMode::kNone || clock_->Now() >= until_ ||
      absl::Uniform<double>(random_, 0, 1) >= probability_) {
    return FaultPlan{};
  }
  const double part = mode_ == FaultMode::kSlow ? absl::Uniform<double>(random_, 0, 1) : 1;
  return FaultPlan{mode_, delay_ * part};
}

}  // namespace pomelotray
