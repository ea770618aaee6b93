#include "cli/cli_program.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/system_clock.h"
#include "cli/api_client.h"
#include "cli/command.h"
#include "cli/help_texts.h"
#include "cli/json_view.h"

namespace pomelotray {
namespace {

constexpr char kOverview[] = "pomelotray";

SettingTable GlobalSettings() {
  SettingTable table;
  table.AddressList("address", "127.0.0.1:7070", "API addresses.")
      .Secret("token", "Bearer token.")
      .Text("output", "table", "table or json.");
  return table;
}

SettingTable::Flags FlagsFromArguments(const Arguments& arguments) {
  SettingTable::Flags flags;
  for (const std::string& name : GlobalSettings().FlagNames()) {
    const std::optional<std::string> value = arguments.Text("--" + name);
    if (value.has_value()) {
      flags[name] = *value;
    }
  }
  return flags;
}

Result<bool> ParseJsonOutput(const std::string& output) {
  if (output != "table" && output != "json") {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("--output is \"", output, "\"; use table or json."));
  }
  return output == "json";
}

}  // namespace

CliProgram::CliProgram(SettingTable::Environment environment, std::istream* in, std::ostream* out,
                       std::ostream* err)
    : environment_(std::move(environment)), in_(in), out_(out), err_(err) {}

int CliProgram::Run(const std::vector<std::string>& args) {
  if (args.empty() || args.front() == "--help" || args.front() == "-h") {
    return Help({});
  }
  int code = kExitFailed;
  const Outcome<void> outcome = Capture([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(code, RunCommand(args));
    return {};
  });
  return outcome.ok() ? code : PrintError(outcome.error());
}

Result<int> CliProgram::RunCommand(const std::vector<std::string>& args) {
  BOOST_LEAF_AUTO(global, Arguments::Parse(HelpTexts().at(kOverview), args, true));
  const std::string name = global.Text("<command>").value_or("");
  std::vector<std::string> words = global.List("<args>");
  if (name == "help") {
    return Help(words);
  }
  const std::unique_ptr<Command> command = MakeCommand(name);
  if (command == nullptr) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("Command \"", name, "\" does not exist; see \"pomelotray help\"."));
  }
  if (!words.empty() && (words.front() == "--help" || words.front() == "-h")) {
    return Help({name});
  }
  words.insert(words.begin(), name);
  Arguments parsed;
  const Outcome<void> parse_outcome = Capture([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(parsed, Arguments::Parse(HelpTexts().at(name), words, false));
    return {};
  });
  if (!parse_outcome.ok()) {
    return Fail(ErrorKind::kInvalidArgument, absl::StrCat(parse_outcome.error().message,
                                                          " See \"pomelotray help ", name, "\"."));
  }
  BOOST_LEAF_AUTO(settings, GlobalSettings().Read(FlagsFromArguments(global), environment_));
  BOOST_LEAF_AUTO(json, ParseJsonOutput(settings.Text("output")));
  const SystemClock clock;
  const ApiClient client(settings.AddressList("address"), settings.Secret("token"));
  const Outcome<int> code = Capture([&] {
    return command->Run(parsed, CommandContext{&client, &clock, json, in_, out_, err_});
  });
  api_called_ = client.call_attempted();
  return code.ToResult();
}

int CliProgram::Help(const std::vector<std::string>& words) {
  const std::string name = words.empty() ? kOverview : words.front();
  const auto it = HelpTexts().find(name);
  if (it == HelpTexts().end()) {
    *err_ << "There is no help page \"" << name << "\"; see \"pomelotray help\".\n";
    return kExitUsage;
  }
  *out_ << it->second;
  return kExitSuccess;
}

int CliProgram::PrintError(const Error& error) {
  *err_ << "error: " << ErrorKindName(error.kind) << ": " << Printable(error.message) << "\n";
  if (error.retry_after.has_value()) {
    *err_ << "Retry after " << absl::ToInt64Milliseconds(*error.retry_after) << " ms.\n";
  }
  return !api_called_ && error.kind == ErrorKind::kInvalidArgument ? kExitUsage : ExitCodeOf(error);
}

}  // namespace pomelotray
