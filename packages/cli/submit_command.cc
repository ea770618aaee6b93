#include "cli/submit_command.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

// Sets `field` to the integer value of an option if the option is present.
Result<void> CopyInteger(const Arguments& args, const char* option, nlohmann::json* field) {
  BOOST_LEAF_AUTO(number, args.Integer(option));
  if (number.has_value()) {
    *field = *number;
  }
  return {};
}

void CopyText(const Arguments& args, const char* option, const char* name, nlohmann::json* job) {
  const std::optional<std::string> text = args.Text(option);
  if (text.has_value()) {
    (*job)[name] = *text;
  }
}

Result<nlohmann::json> JobFromOptions(const Arguments& args, const CommandContext& context) {
  nlohmann::json job = {{"demand", nlohmann::json::object()}};
  CopyText(args, "--customer", "customer", &job);
  CopyText(args, "--key", "key", &job);
  CopyText(args, "--kind", "kind", &job);
  CopyText(args, "--pool", "pool", &job);
  CopyText(args, "--payload", "payload", &job);
  BOOST_LEAF_CHECK(CopyInteger(args, "--tasks", &job["task_count"]));
  if (job["task_count"].is_null()) {
    job["task_count"] = 1;
  }
  for (const auto& [option, field] :
       {std::pair("--cpu", "cpu_millicores"), std::pair("--memory", "memory_mib"),
        std::pair("--accelerators", "accelerators")}) {
    nlohmann::json amount = 0;
    BOOST_LEAF_CHECK(CopyInteger(args, option, &amount));
    job["demand"][field] = amount;
  }
  job["priority"] = args.Has("--urgent") ? "urgent" : "normal";
  job["repeatable"] = !args.Has("--once");
  BOOST_LEAF_AUTO(deadline, args.Duration("--deadline-in"));
  if (deadline.has_value()) {
    job["deadline"] = TimeToText(context.clock->Now() + *deadline);
  }
  BOOST_LEAF_AUTO(expected_run, args.Duration("--expected-run"));
  if (expected_run.has_value()) {
    job["expected_run_ms"] = absl::ToInt64Milliseconds(*expected_run);
  }
  return job;
}

}  // namespace

Result<int> SubmitCommand::Run(const Arguments& args, const CommandContext& context) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/jobs";
  call.headers["Content-Type"] = "application/json";
  // Submissions are idempotent: the same key resolves to the same job.
  call.repeatable = true;
  if (args.Text("<file>").has_value()) {
    BOOST_LEAF_ASSIGN(call.body, ReadInput(*args.Text("<file>"), context));
  } else {
    BOOST_LEAF_AUTO(job, JobFromOptions(args, context));
    call.body = DumpJson(job);
  }
  BOOST_LEAF_AUTO(job, context.client->CallJson(call));
  PrintJob(job, context);
  return kExitSuccess;
}

}  // namespace pomelotray
