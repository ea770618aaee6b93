#include "cli/contract_command.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "base/json_text.h"
#include "cli/json_view.h"
#include "cli/table.h"
#include "model/contract_codec.h"

namespace pomelotray {
namespace {

struct StoredContract {
  nlohmann::json contract;
  int64_t revision = 0;
};

Result<StoredContract> Fetch(const std::string& customer, const CommandContext& context) {
  BOOST_LEAF_AUTO(response, context.client->GetJson("/v1/contracts/" + EscapeUrl(customer)));
  if (!response.is_object() || !response.contains("contract") || !response.contains("revision") ||
      !response["revision"].is_number_integer()) {
    return Fail(ErrorKind::kInternal,
                "The instance's response contains no contract; check that the versions of "
                "pomelotray and pomelotrayd match.");
  }
  return StoredContract{response["contract"], response["revision"].get<int64_t>()};
}

// Validates the contract locally before sending it, so that an invalid one causes no API call.
Result<int> Store(const nlohmann::json& json, int64_t expected, const CommandContext& context) {
  BOOST_LEAF_AUTO(contract, ContractFromJson(json));
  ApiCall call;
  call.method = "PUT";
  call.target = absl::StrCat("/v1/contracts/", EscapeUrl(contract.customer.value()),
                             "?expected_revision=", expected);
  call.body = DumpJson(ContractToJson(contract));
  call.headers["Content-Type"] = "application/json";
  call.repeatable = false;
  BOOST_LEAF_AUTO(response, context.client->CallJson(call));
  if (context.json) {
    PrintJson(response, context);
  } else {
    *context.out << "Contract of " << contract.customer << " is stored as revision "
                 << JsonText(response, "/revision") << ".\n";
  }
  return kExitSuccess;
}

Result<nlohmann::json> ReadContractFile(const std::string& path, const CommandContext& context) {
  BOOST_LEAF_AUTO(text, ReadInput(path, context));
  BOOST_LEAF_AUTO(json, ParseJson(text, "contract"));
  // Validates the contract and fills in defaults.
  BOOST_LEAF_AUTO(contract, ContractFromJson(json));
  return ContractToJson(contract);
}

// Applies an assignment such as "weight=2" or "hold.cpu_millicores=64000". A value that is not
// valid JSON is stored as a string.
Result<void> ApplySetting(const std::string& setting, nlohmann::json* contract) {
  const size_t equals = setting.find('=');
  if (equals == std::string::npos || equals == 0) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("--set is \"", setting, "\"; use <field>=<value>."));
  }
  const std::string name = setting.substr(0, equals);
  const std::string text = setting.substr(equals + 1);
  const nlohmann::json::json_pointer pointer(
      "/" + absl::StrReplaceAll(name, {{"~", "~0"}, {"/", "~1"}, {".", "/"}}));
  if (name == "customer" || !contract->contains(pointer)) {
    return Fail(
        ErrorKind::kInvalidArgument,
        absl::StrCat("Field \"", name, "\" cannot be set; docs/contracts.md lists the fields."));
  }
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  (*contract)[pointer] = value.is_discarded() ? nlohmann::json(text) : value;
  return {};
}

}  // namespace

Result<int> ContractCommand::Run(const Arguments& args, const CommandContext& context) {
  if (args.Has("get")) {
    return Get(args, context);
  }
  if (args.Has("list")) {
    return List(context);
  }
  if (args.Has("apply")) {
    return Apply(args, context);
  }
  return args.Has("amend") ? Amend(args, context) : Diff(args, context);
}

Result<int> ContractCommand::Get(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(stored, Fetch(*args.Text("<customer>"), context));
  if (context.json) {
    PrintJson({{"contract", stored.contract}, {"revision", stored.revision}}, context);
    return kExitSuccess;
  }
  // Omits the revision from standard output, so that the output can be edited and applied.
  PrintJson(stored.contract, context);
  *context.err << "Revision " << stored.revision << ".\n";
  return kExitSuccess;
}

Result<int> ContractCommand::List(const CommandContext& context) {
  BOOST_LEAF_AUTO(response, context.client->GetJson("/v1/contracts"));
  if (context.json) {
    PrintJson(response, context);
    return kExitSuccess;
  }
  Table table({"CUSTOMER", "REVISION", "WEIGHT", "RATE", "MAX_JOBS"});
  for (const nlohmann::json& entry : JsonList(response, "/contracts")) {
    table.AddRow({JsonText(entry, "/contract/customer"), JsonText(entry, "/revision"),
                  JsonText(entry, "/contract/weight"), JsonText(entry, "/contract/rate_per_second"),
                  JsonText(entry, "/contract/max_jobs")});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

Result<int> ContractCommand::Apply(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(contract, ReadContractFile(*args.Text("<file>"), context));
  BOOST_LEAF_AUTO(expected, args.Integer("--expected-revision"));
  return Store(contract, expected.value_or(0), context);
}

Result<int> ContractCommand::Amend(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(stored, Fetch(*args.Text("<customer>"), context));
  for (const std::string& setting : args.List("--set")) {
    BOOST_LEAF_CHECK(ApplySetting(setting, &stored.contract));
  }
  return Store(stored.contract, stored.revision, context);
}

Result<int> ContractCommand::Diff(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(contract, ReadContractFile(*args.Text("<file>"), context));
  BOOST_LEAF_AUTO(stored, Fetch(JsonText(contract, "/customer"), context));
  const nlohmann::json changes = nlohmann::json::diff(stored.contract, contract);
  if (context.json) {
    PrintJson({{"changes", changes}, {"revision", stored.revision}}, context);
    return changes.empty() ? kExitSuccess : kExitFailed;
  }
  for (auto it = contract.begin(); it != contract.end(); ++it) {
    const nlohmann::json old = stored.contract.value(it.key(), nlohmann::json());
    if (old != it.value()) {
      *context.out << it.key() << ": " << DumpJson(old) << " -> " << DumpJson(it.value()) << "\n";
    }
  }
  *context.err << "Stored revision " << stored.revision << ".\n";
  return changes.empty() ? kExitSuccess : kExitFailed;
}

}  // namespace pomelotray
