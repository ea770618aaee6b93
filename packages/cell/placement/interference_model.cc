#include "cell/placement/interference_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

// Time that a reported tail latency covers. Reports that overlap say nothing new.
constexpr absl::Duration kLatencyWindow = absl::Milliseconds(500);
// What runs beside finite tasks is noted at this interval, and at their ends.
constexpr absl::Duration kSampleInterval = absl::Milliseconds(250);
// A serving task is not judged while it starts.
constexpr absl::Duration kWarmUp = absl::Seconds(1);
// Shorter run times depend on the interval between reports more than on neighbors.
constexpr absl::Duration kMinRunTime = absl::Milliseconds(200);
// The usual latency of a serving step changes with its load. It is averaged over this time if the
// step has enough tasks, so that a change for all of them is not put down to their neighbors.
constexpr absl::Duration kMinBaselineHalfLife = absl::Seconds(5);
constexpr absl::Duration kUpdateInterval = absl::Seconds(1);

// A pair interferes from when it has this many observations, and its slowdown is at least this
// logarithm and exceeds its standard error by this factor. Of 4,096 pairs without an effect, 5
// exceed it by chance.
constexpr double kMinObservations = 8;
constexpr double kMinLogSlowdown = 0.15;
constexpr double kMinErrors = 3;
// The same for pairs that are known to interfere, so that the list does not change all the time.
// Pairs that are kept apart lose their observations, and are tried again.
constexpr double kMinObservationsToStay = 3;
constexpr double kMinLogSlowdownToStay = 0.1;
constexpr double kMinErrorsToStay = 1.5;

bool Interferes(const NeighborEffect& effect, bool known) {
  const double observations = known ? kMinObservationsToStay : kMinObservations;
  const double slowdown = known ? kMinLogSlowdownToStay : kMinLogSlowdown;
  const double errors = known ? kMinErrorsToStay : kMinErrors;
  return effect.observations >= observations && effect.log_slowdown >= slowdown &&
         effect.log_slowdown >= errors * effect.standard_error;
}

bool SameImages(const InterferingPair& a, const InterferingPair& b) {
  return a.slowed == b.slowed && a.neighbor == b.neighbor;
}

// Whether the run began at its first checkpoint rather than at an earlier attempt's.
bool StartedFromBeginning(const Attempt& attempt) {
  return attempt.checkpoint.empty() || attempt.checkpoint_received_at != absl::InfinitePast();
}

void AddTo(ImageNumber image, double amount, std::vector<std::pair<ImageNumber, double>>* sums) {
  const auto it = std::find_if(sums->begin(), sums->end(),
                               [image](const auto& entry) { return entry.first == image; });
  if (it != sums->end()) {
    it->second += amount;
  } else {
    sums->emplace_back(image, amount);
  }
}

}  // namespace

void InterferenceModel::BeginReport(const CellWorker& worker, absl::Time now) {
  if (report_.worker == &worker && report_.at == now) {
    return;
  }
  WorkerExposures& exposures = exposures_[worker.description.id];
  report_ = Report{&worker, now, &exposures, now - exposures.sampled_at >= kSampleInterval};
  if (report_.sampled) {
    exposures.sampled_at = now;
  }
}

void InterferenceModel::ReadNeighbors() {
  if (report_.has_neighbors) {
    return;
  }
  report_.has_neighbors = true;
  const std::map<AttemptKey, Attempt>& attempts = report_.worker->attempts;
  neighbors_.clear();
  for (const auto& [key, attempt] : attempts) {
    if (attempt.confirmed_at <= report_.at && !attempt.image.empty()) {
      neighbors_.push_back(
          Neighbor{images_.Intern(attempt.image, report_.at), attempt.confirmed_at});
    }
  }
  std::map<AttemptKey, Exposure>& exposures = report_.exposures->attempts;
  if (exposures.size() > attempts.size()) {
    for (auto it = exposures.begin(); it != exposures.end();) {
      it = attempts.count(it->first) > 0 ? std::next(it) : exposures.erase(it);
    }
  }
}

InterferenceModel::Exposure& InterferenceModel::ExtendExposure(const Attempt& attempt) {
  ReadNeighbors();
  Exposure& exposure = report_.exposures->attempts[attempt.key];
  exposure.until = std::max(exposure.until, attempt.confirmed_at);
  for (const Neighbor& neighbor : neighbors_) {
    const absl::Duration together = report_.at - std::max(exposure.until, neighbor.begin);
    if (together > absl::ZeroDuration()) {
      AddTo(neighbor.image, absl::ToDoubleSeconds(together), &exposure.task_seconds);
    }
  }
  exposure.until = report_.at;
  return exposure;
}

bool InterferenceModel::HasComparableRunTimes(const CellJob& job, const StepSpec& step) {
  // The members of a gang end together, whatever runs beside each of them.
  return !step.long_running && !step.gang &&
         (step.task_count > 1 || job.intake.spec.occurrences > 1);
}

void InterferenceModel::NoteRunning(const CellJob& job, const StepRun& run,
                                    const CellWorker& worker, const Attempt& attempt,
                                    const RunningAttempt& reported, absl::Time now) {
  const StepSpec& step = job.Step(run);
  const bool serving = step.long_running && step.latency_target > absl::ZeroDuration();
  if (step.image.empty() || attempt.confirmed_at > now ||
      (!serving && !HasComparableRunTimes(job, step))) {
    return;
  }
  BeginReport(worker, now);
  if (!serving) {
    if (report_.sampled) {
      ExtendExposure(attempt);
    }
    return;
  }
  if (attempt.stop_wanted || now - attempt.confirmed_at < kWarmUp) {
    return;
  }
  Exposure& exposure = report_.exposures->attempts[attempt.key];
  if (now - exposure.until < kLatencyWindow) {
    return;
  }
  // Only the window that the reported latency covers counts.
  exposure.until = now - kLatencyWindow;
  exposure.task_seconds.clear();
  ExtendExposure(attempt);
  if (reported.usage > 0) {
    for (auto& [image, task_seconds] : exposure.task_seconds) {
      task_seconds /= absl::ToDoubleSeconds(kLatencyWindow);
    }
    Observe(job, run, worker, std::log(static_cast<double>(reported.usage)), exposure.task_seconds,
            now);
  }
}

void InterferenceModel::NoteSuccess(const CellJob& job, const StepRun& run,
                                    const CellWorker& worker, const Attempt& attempt,
                                    absl::Time now) {
  const StepSpec& step = job.Step(run);
  // The begin of an attempt that an earlier owner started is not known.
  if (step.image.empty() || !HasComparableRunTimes(job, step) ||
      attempt.sent_at == absl::InfinitePast() || !StartedFromBeginning(attempt) ||
      !worker.HasLabel(step.preferred_rack) || attempt.confirmed_at > now ||
      now - attempt.confirmed_at < kMinRunTime) {
    return;
  }
  BeginReport(worker, now);
  Exposure exposure = ExtendExposure(attempt);
  report_.exposures->attempts.erase(attempt.key);
  const double run_time = absl::ToDoubleSeconds(now - attempt.confirmed_at);
  for (auto& [image, task_seconds] : exposure.task_seconds) {
    task_seconds /= run_time;
  }
  Observe(job, run, worker, std::log(run_time), exposure.task_seconds, now);
}

void InterferenceModel::Observe(const CellJob& job, const StepRun& run, const CellWorker& worker,
                                double log_value,
                                const std::vector<std::pair<ImageNumber, double>>& mean_tasks,
                                absl::Time now) {
  const StepSpec& step = job.Step(run);
  const ImageNumber image = images_.Intern(step.image, now);
  std::vector<NeighborPresence> neighbors;
  neighbors.reserve(mean_tasks.size());
  for (const auto& [neighbor, tasks] : mean_tasks) {
    // The task is not its own neighbor.
    const double others = neighbor == image ? std::max(tasks - 1, 0.0) : tasks;
    if (others > 0) {
      neighbors.push_back(NeighborPresence{neighbor, std::log2(1 + others)});
    }
  }
  const absl::Duration half_life =
      step.long_running ? std::max(kMinBaselineHalfLife,
                                   NeighborEffects::kHalfLife / std::max(step.task_count, 1))
                        : NeighborEffects::kHalfLife;
  EffectsOn(image).Observe(log_value, neighbors, worker.description.id, half_life, now,
                           &baselines_[StepKey(job.intake.id, run.step)]);
}

NeighborEffects& InterferenceModel::EffectsOn(ImageNumber slowed) {
  const auto it = effects_.find(slowed);
  if (it != effects_.end()) {
    return it->second;
  }
  if (effects_.size() >= kMaxSlowedImages) {
    effects_.erase(
        std::min_element(effects_.begin(), effects_.end(), [](const auto& a, const auto& b) {
          return a.second.last_observed() < b.second.last_observed();
        }));
  }
  return effects_[slowed];
}

void InterferenceModel::ForgetJob(const JobId& id) {
  baselines_.erase(baselines_.lower_bound(StepKey(id, 0)),
                   baselines_.lower_bound(StepKey(id, std::numeric_limits<int>::max())));
}

void InterferenceModel::ForgetWorker(const WorkerId& id) {
  exposures_.erase(id);
  report_ = Report();
}

void InterferenceModel::BeginRound(absl::Time now) {
  if (now - pairs_updated_at_ < kUpdateInterval) {
    costs_.BeginRound();
    return;
  }
  pairs_updated_at_ = now;
  std::vector<InterferingPair> pairs;
  for (auto& [slowed, effects] : effects_) {
    for (const NeighborEffect& effect : effects.Estimate(now)) {
      const InterferingPair pair{slowed, effect.neighbor, effect.log_slowdown};
      const bool known =
          std::any_of(pairs_.begin(), pairs_.end(),
                      [&pair](const InterferingPair& other) { return SameImages(pair, other); });
      if (Interferes(effect, known)) {
        pairs.push_back(pair);
      }
    }
  }
  if (!std::is_permutation(pairs.begin(), pairs.end(), pairs_.begin(), pairs_.end(), SameImages)) {
    ++version_;
  }
  pairs_ = std::move(pairs);
  costs_.SetPairs(pairs_);
}

void InterferenceModel::NotePlacement(const StepSpec& step, const CellWorker& worker) {
  if (costs_.HadCost(step) && costs_.Cost(step, worker, {}) == 0) {
    ++placements_avoided_;
  }
}

double InterferenceModel::LogSlowdown(const PlacementOption& option) const {
  return costs_.HasPairs() ? costs_.Cost(option.Step(), option.worker, option.placed) : 0;
}

size_t InterferenceModel::ObservedPairs() const {
  size_t pairs = 0;
  for (const auto& [image, effects] : effects_) {
    pairs += effects.size();
  }
  return pairs;
}

std::string InterferenceModel::DescribePairs(size_t limit) const {
  std::vector<InterferingPair> ordered = pairs_;
  std::sort(ordered.begin(), ordered.end(), [](const InterferingPair& a, const InterferingPair& b) {
    return a.log_slowdown > b.log_slowdown;
  });
  ordered.resize(std::min(ordered.size(), limit));
  std::string text;
  for (const InterferingPair& pair : ordered) {
    const int64_t percent = std::llround(100 * (std::exp(pair.log_slowdown) - 1));
    absl::StrAppend(&text, text.empty() ? "" : ", ", images_.NameOf(pair.slowed), " beside ",
                    images_.NameOf(pair.neighbor), " +", percent, "%");
  }
  return text;
}

}  // namespace pomelotray
