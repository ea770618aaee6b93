#include "cli/request_command.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

Result<int> RequestCommand::Run(const Arguments& args, const CommandContext& context) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/requests/" + EscapeUrl(*args.Text("<pool>"));
  call.body = args.Text("--body").value_or("");
  if (args.Text("--file").has_value()) {
    BOOST_LEAF_ASSIGN(call.body, ReadInput(*args.Text("--file"), context));
  }
  call.repeatable = !args.Has("--once");
  call.headers["Content-Type"] = "application/octet-stream";
  call.headers["Pomelotray-Repeatable"] = call.repeatable ? "true" : "false";
  BOOST_LEAF_AUTO(timeout, args.Duration("--timeout"));
  if (timeout.has_value()) {
    call.timeout = *timeout;
    call.headers["Pomelotray-Timeout-Ms"] = absl::StrCat(absl::ToInt64Milliseconds(*timeout));
  } else {
    // The server applies the contract's default deadline, which is at most 10 minutes.
    call.timeout = absl::Minutes(10);
  }
  if (args.Text("--id").has_value()) {
    call.headers["Pomelotray-Request-Id"] = *args.Text("--id");
  }
  if (args.Text("--customer").has_value()) {
    call.headers["Pomelotray-Customer"] = *args.Text("--customer");
  }
  BOOST_LEAF_AUTO(response, context.client->Call(call));
  *context.out << response.body;
  return kExitSuccess;
}

}  // namespace pomelotray
