#include "peer/member.h"

namespace pomelotray {

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "invalid";
}

}  // namespace pomelotray
