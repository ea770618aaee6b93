#include "cell/placement/step_wait.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

const char* WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kInheritedAttempts:
      return "inherited attempts";
    case WaitReason::kCap:
      return "cap";
    case WaitReason::kHeadroom:
      return "headroom";
    case WaitReason::kCapacity:
      return "capacity";
    case WaitReason::kLabel:
      return "label";
    case WaitReason::kRestartDelay:
      return "restart delay";
    case WaitReason::kBestEffort:
      return "best effort";
    case WaitReason::kReservation:
      return "reservation";
    case WaitReason::kNoTicket:
      return "no ticket";
    case WaitReason::kNotAllowed:
      return "not allowed";
    case WaitReason::kExpiredTicket:
      return "expired ticket";
    case WaitReason::kWorkerLimit:
      return "worker limit";
    case WaitReason::kIsolation:
      return "isolation";
  }
  return "unknown";
}

WaitReason StepWait::MainReason() const {
  WaitReason main = WaitReason::kCapacity;
  int most = 0;
  for (const auto& [reason, count] : workers) {
    if (reason != WaitReason::kCapacity && count > most) {
      main = reason;
      most = count;
    }
  }
  return main;
}

std::string StepWait::Summary() const {
  std::string text;
  for (const auto& [reason, count] : workers) {
    absl::StrAppend(&text, text.empty() ? "" : ", ", WaitReasonName(reason), " ", count);
  }
  return text;
}

}  // namespace pomelotray
