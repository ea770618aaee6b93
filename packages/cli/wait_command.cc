#include "cli/wait_command.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/json_view.h"
#include "model/job.h"

namespace pomelotray {
namespace {

// Duration of one long poll; the API responds to a wait within a minute.
constexpr absl::Duration kMaxWaitPerCall = absl::Seconds(30);
constexpr absl::Duration kOwnerRetryInterval = absl::Milliseconds(500);
constexpr absl::Duration kDefaultTimeout = absl::Hours(1);

}  // namespace

Result<int> WaitCommand::Run(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(timeout, args.Duration("--timeout"));
  const absl::Time end = context.clock->Now() + timeout.value_or(kDefaultTimeout);
  for (;;) {
    const absl::Duration left = std::max(end - context.clock->Now(), absl::ZeroDuration());
    ApiCall call;
    call.timeout = std::min(left, kMaxWaitPerCall);
    call.target = absl::StrCat("/v1/jobs/", EscapeUrl(*args.Text("<job>")),
                               "/wait?timeout_ms=", absl::ToInt64Milliseconds(call.timeout));
    const Outcome<nlohmann::json> response =
        Capture([&] { return context.client->CallJson(call); });
    if (!response.ok()) {
      // The job continues while its shard changes owner, but its state cannot be queried.
      if (response.error().kind != ErrorKind::kOwnerUnavailable ||
          context.clock->Now() + kOwnerRetryInterval >= end) {
        return Fail(response.error());
      }
      context.clock->SleepFor(kOwnerRetryInterval);
      continue;
    }
    const nlohmann::json& job = response.value();
    const std::optional<JobState> state = ParseJobState(JsonText(job, "/state"));
    if (state.has_value() && IsFinal(*state)) {
      PrintJob(job, context);
      return *state == JobState::kSucceeded ? kExitSuccess
             : *state == JobState::kUnknown ? kExitOutcomeUnknown
                                            : kExitFailed;
    }
    if (context.clock->Now() >= end) {
      PrintJob(job, context);
      *context.err << "The job is not final yet; wait again or raise --timeout.\n";
      return kExitFailed;
    }
  }
}

}  // namespace pomelotray
