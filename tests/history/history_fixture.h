#ifndef POMELOTRAY_TESTS_HISTORY_HISTORY_FIXTURE_H_
#define POMELOTRAY_TESTS_HISTORY_HISTORY_FIXTURE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/event.h"
#include "history/history_checker.h"

namespace pomelotray {

// Builds a history event by event. Times are in milliseconds after the start of the history.
class HistoryFixture {
 public:
  using Fields = std::map<std::string, std::string>;

  void Add(int64_t millis, const std::string& process, EventCode code, Fields fields) {
    Event event;
    event.time = EarliestStamp(TimeOf(millis));
    event.process = process;
    event.sequence = ++sequences_[process];
    event.code = code;
    event.fields = std::move(fields);
    events_.push_back(std::move(event));
  }
  static absl::Time TimeOf(int64_t millis) {
    return absl::FromUnixSeconds(1'800'000'000) + absl::Milliseconds(millis);
  }

  static std::string Cpu(int64_t cores) {
    return "{cpu " + std::to_string(cores * 1000) + "m, memory 0 MiB, accelerators 0, slots 0}";
  }

  void Start(int64_t millis, const std::string& worker, const std::string& attempt,
             bool repeatable = true, int64_t cores = 1) {
    Add(millis, worker, EventCode::kTaskStarted,
        RunFields(worker, attempt, repeatable, cores, "b1"));
  }
  void End(int64_t millis, const std::string& worker, const std::string& attempt) {
    Add(millis, worker, EventCode::kTaskEnded, RunFields(worker, attempt, true, 1, "b1"));
  }
  void Accept(int64_t millis, const std::string& job) {
    Add(millis, "i1", EventCode::kJobAccepted, {{"job", job}, {"customer", "market"}});
  }
  void Finish(int64_t millis, const std::string& job, const std::string& state) {
    Add(millis, "i1", EventCode::kJobFinished, {{"job", job}, {"state", state}});
  }
  void Refuse(int64_t millis, const std::string& job) {
    Add(millis, "i1", EventCode::kJobRefused, {{"job", job}, {"customer", "market"}});
  }
  void Answer(int64_t millis, const std::string& process, Fields fields) {
    Add(millis, process, EventCode::kRequestAnswered, std::move(fields));
  }
  void InForce(int64_t millis, const std::string& process, int64_t revision) {
    Add(millis, process, EventCode::kContractInForce,
        {{"customer", "market"}, {"revision", std::to_string(revision)}});
  }

  HistoryReport Check(const HistoryChecker::Builder& builder = HistoryChecker::Builder()) const {
    return builder.Build().Check(events_);
  }
  // Returns the violated rules in the order in which they are reported.
  std::vector<HistoryRule> ViolatedRules(
      const HistoryChecker::Builder& builder = HistoryChecker::Builder()) const {
    std::vector<HistoryRule> rules;
    for (const Violation& violation : Check(builder).violations) {
      rules.push_back(violation.rule);
    }
    return rules;
  }
  const std::vector<Event>& events() const { return events_; }

 private:
  // The task "<job>/<index>" and the job are taken from the attempt id "<job>/<index>#<n>".
  static Fields RunFields(const std::string& worker, const std::string& attempt, bool repeatable,
                          int64_t cores, const std::string& boot) {
    const std::string task = attempt.substr(0, attempt.find('#'));
    return {{"worker", worker},
            {"boot", boot},
            {"attempt", attempt},
            {"task", task},
            {"job", task.substr(0, task.find('/'))},
            {"repeatable", repeatable ? "true" : "false"},
            {"reserved", Cpu(cores)},
            {"capacity", Cpu(4)}};
  }

  std::vector<Event> events_;
  std::map<std::string, uint64_t> sequences_;
};

using Rules = std::vector<HistoryRule>;

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_HISTORY_HISTORY_FIXTURE_H_
