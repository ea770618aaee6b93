#include "model/contract_codec.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

constexpr double kMaxRate = 1'000'000;
constexpr double kMaxWeight = 1'000'000;
constexpr int64_t kMaxBurst = 1'000'000;
constexpr int64_t kMaxJobs = 10'000'000;
constexpr size_t kMaxNames = 256;
constexpr size_t kSha256HexLength = 64;

bool IsSha256(const std::string& text) {
  return text.size() == kSha256HexLength && std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isdigit(static_cast<unsigned char>(c)) || (c >= 'a' && c <= 'f');
         });
}

void ReadToken(FieldReader* reader, Contract* contract) {
  contract->caller_token_sha256 = reader->Text("caller_token_sha256", "");
  if (!contract->caller_token_sha256.empty() && !IsSha256(contract->caller_token_sha256)) {
    // The value is not shown: it may be the token itself, entered by mistake.
    reader->AddProblem("caller_token_sha256", "is not a SHA-256",
                       "use the 64 lower-case hex digits that `sha256sum` prints for the token");
  }
}

void ReadRates(FieldReader* reader, Contract* contract) {
  contract->rate_per_second = reader->Number("rate_per_second", kMaxRate);
  contract->burst = reader->Integer("burst", 0, kMaxBurst);
  if ((contract->rate_per_second > 0) != (contract->burst > 0)) {
    reader->AddProblem("burst",
                       absl::StrCat("is ", contract->burst, " with a rate_per_second of ",
                                    contract->rate_per_second),
                       "set both above 0, or both to 0 to admit nothing");
  }
  contract->weight = reader->Number("weight", kMaxWeight, 1);
  if (!(contract->weight > 0)) {
    reader->AddProblem("weight", "is not above 0", "use a number above 0, such as 1");
  }
  contract->max_jobs = reader->Integer("max_jobs", 0, kMaxJobs);
}

void ReadDeadlines(FieldReader* reader, Contract* contract) {
  contract->default_deadline = reader->Milliseconds("default_deadline_ms", absl::Milliseconds(1));
  contract->max_deadline = reader->Milliseconds("max_deadline_ms", absl::Milliseconds(1));
  if (contract->default_deadline > contract->max_deadline) {
    reader->AddProblem(
        "default_deadline_ms",
        absl::StrCat("is ", absl::ToInt64Milliseconds(contract->default_deadline),
                     ", above max_deadline_ms ", absl::ToInt64Milliseconds(contract->max_deadline)),
        "lower it or raise max_deadline_ms");
  }
}

std::vector<std::string> ReadNames(FieldReader* reader, const char* name, bool required) {
  std::vector<std::string> names = reader->Names(name, /*identifiers=*/true);
  if (names.size() > kMaxNames) {
    reader->AddProblem(name, absl::StrCat("has ", names.size(), " entries"),
                       absl::StrCat("use at most ", kMaxNames));
  }
  if (required && names.empty()) {
    reader->AddProblem(name, "names no valid entry", "name at least one");
  }
  return names;
}

void ReadPlaces(FieldReader* reader, Contract* contract) {
  for (const std::string& kind : reader->Names("kinds", /*identifiers=*/false)) {
    const std::optional<JobKind> parsed = ParseJobKind(kind);
    if (parsed.has_value()) {
      contract->kinds.insert(*parsed);
    } else {
      reader->AddProblem("kinds",
                         absl::StrCat("contains ", FieldReader::Show(nlohmann::json(kind))),
                         R"(use "batch", "gang" or "service")");
    }
  }
  for (const std::string& pool : ReadNames(reader, "pools", false)) {
    contract->pools.insert(PoolName(pool));
  }
  for (const std::string& domain : ReadNames(reader, "home_domains", true)) {
    contract->home_domains.emplace_back(domain);
  }
}

}  // namespace

nlohmann::json ContractToJson(const Contract& contract) {
  nlohmann::json kinds = nlohmann::json::array();
  for (const JobKind kind : contract.kinds) {
    kinds.push_back(JobKindName(kind));
  }
  nlohmann::json pools = nlohmann::json::array();
  for (const PoolName& pool : contract.pools) {
    pools.push_back(pool.value());
  }
  nlohmann::json domains = nlohmann::json::array();
  for (const FailureDomainId& domain : contract.home_domains) {
    domains.push_back(domain.value());
  }
  return {{"customer", contract.customer.value()},
          {"caller_token_sha256", contract.caller_token_sha256},
          {"hold", ResourcesToJson(contract.hold)},
          {"rate_per_second", contract.rate_per_second},
          {"burst", contract.burst},
          {"weight", contract.weight},
          {"max_jobs", contract.max_jobs},
          {"default_deadline_ms", absl::ToInt64Milliseconds(contract.default_deadline)},
          {"max_deadline_ms", absl::ToInt64Milliseconds(contract.max_deadline)},
          {"allow_urgent", contract.allow_urgent},
          {"allow_requests", contract.allow_requests},
          {"kinds", std::move(kinds)},
          {"pools", std::move(pools)},
          {"home_domains", std::move(domains)}};
}

Result<Contract> ContractFromJson(const nlohmann::json& json) {
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The contract is ", FieldReader::Show(json),
                             "; send a JSON object as docs/contracts.md shows."));
  }
  FaultList faults;
  FieldReader reader(json, "", &faults);
  Contract contract;
  contract.customer = CustomerId(reader.Identifier("customer"));
  ReadToken(&reader, &contract);
  contract.hold = reader.Amounts("hold");
  ReadRates(&reader, &contract);
  ReadDeadlines(&reader, &contract);
  contract.allow_urgent = reader.Boolean("allow_urgent", false);
  contract.allow_requests = reader.Boolean("allow_requests", false);
  ReadPlaces(&reader, &contract);
  reader.Finish();
  BOOST_LEAF_CHECK(faults.Check("contract"));
  return contract;
}

}  // namespace pomelotray
