#include "history/request_rules.h"

#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr char kDigestField[] = "digest";

// Events that were recorded by executors.
struct ExecutorRecords {
  // The request_sent event of each attempt.
  std::map<std::string, const Event*> by_attempt;
  // All executor events of each request.
  std::multimap<std::string, const Event*> by_request;
};

ExecutorRecords CollectExecutorRecords(const HistoryIndex& index) {
  ExecutorRecords records;
  for (const Event& event : index.events()) {
    if (!IsFromExecutor(event)) {
      continue;
    }
    if (event.code == EventCode::kRequestSent) {
      records.by_attempt.emplace(FieldOrEmpty(event, event_field::kAttempt), &event);
    }
    records.by_request.emplace(FieldOrEmpty(event, event_field::kRequest), &event);
  }
  return records;
}

void CheckAttemptOfAnswer(const ExecutorRecords& records, const Event& answer,
                          HistoryReport* report) {
  const auto sent = records.by_attempt.find(FieldOrEmpty(answer, event_field::kAttempt));
  const std::string& request = FieldOrEmpty(answer, event_field::kRequest);
  if (FieldOrEmpty(answer, event_field::kAttempt).empty() || sent == records.by_attempt.end() ||
      FieldOrEmpty(*sent->second, event_field::kRequest) == request) {
    return;
  }
  report->violations.push_back(
      {HistoryRule::kForeignAnswer,
       absl::StrCat("Request ", request,
                    " received an answer that names an attempt of another request."),
       {*sent->second, answer}});
}

void CheckDigestOfAnswer(const ExecutorRecords& records, const Event& answer,
                         HistoryReport* report) {
  const std::string& digest = FieldOrEmpty(answer, kDigestField);
  const std::string& request = FieldOrEmpty(answer, event_field::kRequest);
  if (digest.empty()) {
    return;
  }
  const auto [first, last] = records.by_request.equal_range(request);
  for (auto it = first; it != last; ++it) {
    if (FieldOrEmpty(*it->second, kDigestField) == digest) {
      return;
    }
  }
  if (first == last) {
    report->inconclusive.push_back(
        absl::StrCat("No executor recorded request ", request, "; its answer cannot be checked."));
    return;
  }
  report->violations.push_back(
      {HistoryRule::kForeignAnswer,
       absl::StrCat("Request ", request, " received an answer with the digest of another body."),
       {*first->second, answer}});
}

}  // namespace

void CheckAnswers(const HistoryIndex& index, HistoryReport* report) {
  const ExecutorRecords records = CollectExecutorRecords(index);
  std::map<std::tuple<std::string, std::string, std::string>, const Event*> answers;
  for (const Event& event : index.events()) {
    if (event.code != EventCode::kRequestAnswered || IsFromExecutor(event)) {
      continue;
    }
    CheckAttemptOfAnswer(records, event, report);
    CheckDigestOfAnswer(records, event, report);
    const std::string& request = FieldOrEmpty(event, event_field::kRequest);
    const auto [it, added] = answers.emplace(
        std::make_tuple(event.process, FieldOrEmpty(event, event_field::kKind), request), &event);
    if (!added) {
      report->violations.push_back({HistoryRule::kSecondAnswer,
                                    absl::StrCat("Request ", request, " was answered twice."),
                                    {*it->second, event}});
    }
  }
}

void CheckRevisions(const HistoryIndex& index, HistoryReport* report) {
  // The latest contract revision of each customer on each process.
  std::map<std::string, std::map<std::string, std::pair<int64_t, const Event*>>> in_force;
  for (const Event& event : index.events()) {
    if (event.code == EventCode::kProcessStarted) {
      in_force.erase(event.process);
      continue;
    }
    int64_t revision = 0;
    if (event.code != EventCode::kContractInForce ||
        !absl::SimpleAtoi(FieldOrEmpty(event, event_field::kRevision), &revision)) {
      continue;
    }
    const std::string& customer = FieldOrEmpty(event, event_field::kCustomer);
    const auto [it, added] =
        in_force[event.process].emplace(customer, std::make_pair(revision, &event));
    if (!added && revision < it->second.first) {
      report->violations.push_back(
          {HistoryRule::kRevisionWentBack,
           absl::StrCat("The contract of ", customer, " reverted from revision ", it->second.first,
                        " to ", revision, " on ", event.process, "."),
           {*it->second.second, event}});
    }
    it->second = std::make_pair(revision, &event);
  }
}

}  // namespace pomelotray
