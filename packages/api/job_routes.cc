#include "api/job_routes.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/field_reader.h"
#include "model/job_codec.h"

namespace pomelotray {
namespace {

constexpr int64_t kDefaultWaitMs = 30'000;
constexpr int64_t kMaxWaitMs = 60'000;
// Interval at which a request that waits for a job checks for a graceful stop.
constexpr absl::Duration kWaitPollInterval = absl::Seconds(1);

Result<void> RefuseUnknownJob(const std::string& id) {
  return Fail(ErrorKind::kNotFound, absl::StrCat("Job ", FieldReader::Show(nlohmann::json(id)),
                                                 " does not exist; check the id."));
}

}  // namespace

JobRoutes::JobRoutes(AdminService* service, const Clock* clock, std::function<bool()> stopping)
    : service_(service), clock_(clock), stopping_(std::move(stopping)) {}

void JobRoutes::AddTo(Router* router) {
  const auto add =
      [this, router](const char* method, const char* pattern, std::set<std::string> query,
                     Result<ApiReply> (JobRoutes::*handler)(const Principal&, const ApiRequest&)) {
        router->Add({method, pattern, Access::kCaller, std::move(query),
                     [this, handler](const Principal& principal, const ApiRequest& request) {
                       return (this->*handler)(principal, request);
                     }});
      };
  add("POST", "/v1/jobs", {}, &JobRoutes::Submit);
  add("GET", "/v1/jobs", {"customer"}, &JobRoutes::List);
  add("GET", "/v1/jobs/{}", {}, &JobRoutes::Get);
  add("POST", "/v1/jobs/{}/cancel", {}, &JobRoutes::Cancel);
  add("GET", "/v1/jobs/{}/wait", {"timeout_ms"}, &JobRoutes::Wait);
}

Result<ApiReply> JobRoutes::Submit(const Principal& principal, const ApiRequest& request) {
  BOOST_LEAF_AUTO(json, ParseJson(request.body, "job"));
  if (!principal.is_operator && json.is_object() && !json.contains("customer")) {
    json["customer"] = principal.customer.value();
  }
  BOOST_LEAF_AUTO(spec, JobSpecFromJson(json));
  if (!principal.is_operator && spec.customer != principal.customer) {
    return Fail(ErrorKind::kPermissionDenied,
                absl::StrCat("The token belongs to customer ", principal.customer.value(),
                             " and the job has customer ", spec.customer.value(),
                             "; omit customer or use the token of that customer."));
  }
  BOOST_LEAF_AUTO(record, service_->Submit(spec));
  return JsonReply(JobRecordToJson(record));
}

Result<JobRecord> JobRoutes::Find(const Principal& principal, const ApiRequest& request) {
  const std::string& id = request.parameters.front();
  if (!ShardOfJob(JobId(id)).has_value()) {
    BOOST_LEAF_CHECK(RefuseUnknownJob(id));
  }
  JobRecord record;
  const Outcome<void> found = Capture([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(record, service_->GetJob(JobId(id)));
    return {};
  });
  // A job of another customer gets the same response as a job that does not exist, so that a caller
  // cannot find out which jobs other customers have.
  const bool missing = found.ok()
                           ? !principal.is_operator && record.spec.customer != principal.customer
                           : found.error().kind == ErrorKind::kNotFound;
  if (missing) {
    BOOST_LEAF_CHECK(RefuseUnknownJob(id));
  }
  BOOST_LEAF_CHECK(found.ToResult());
  return record;
}

Result<ApiReply> JobRoutes::Get(const Principal& principal, const ApiRequest& request) {
  BOOST_LEAF_AUTO(record, Find(principal, request));
  return JsonReply(JobRecordToJson(record));
}

Result<ApiReply> JobRoutes::Cancel(const Principal& principal, const ApiRequest& request) {
  BOOST_LEAF_AUTO(found, Find(principal, request));
  BOOST_LEAF_AUTO(record, service_->CancelJob(found.id));
  return JsonReply(JobRecordToJson(record));
}

Result<ApiReply> JobRoutes::Wait(const Principal& principal, const ApiRequest& request) {
  BOOST_LEAF_AUTO(timeout_ms, IntegerQuery(request, "timeout_ms", 0, kMaxWaitMs, kDefaultWaitMs));
  BOOST_LEAF_AUTO(record, Find(principal, request));
  const absl::Time end = clock_->Now() + absl::Milliseconds(timeout_ms);
  while (!IsFinal(record.state) && !stopping_()) {
    const absl::Duration left = end - clock_->Now();
    if (left <= absl::ZeroDuration()) {
      break;
    }
    BOOST_LEAF_ASSIGN(record, service_->WaitForJob(record.id, std::min(left, kWaitPollInterval)));
  }
  return JsonReply(JobRecordToJson(record));
}

Result<ApiReply> JobRoutes::List(const Principal& principal, const ApiRequest& request) {
  std::optional<CustomerId> customer;
  const auto it = request.query.find("customer");
  if (it != request.query.end()) {
    customer = CustomerId(it->second);
  }
  if (!principal.is_operator) {
    if (customer.value_or(principal.customer) != principal.customer) {
      return Fail(ErrorKind::kPermissionDenied,
                  absl::StrCat("The token belongs to customer ", principal.customer.value(),
                               "; list the jobs of that customer or use the token of the "
                               "requested customer."));
    }
    customer = principal.customer;
  }
  BOOST_LEAF_AUTO(records, service_->ListJobs(customer));
  nlohmann::json jobs = nlohmann::json::array();
  for (const JobRecord& record : records) {
    if (principal.is_operator || record.spec.customer == principal.customer) {
      jobs.push_back(JobRecordToJson(record));
    }
  }
  return JsonReply({{"jobs", std::move(jobs)}});
}

}  // namespace pomelotray
