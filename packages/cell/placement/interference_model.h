#ifndef POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_MODEL_H_
#define POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_MODEL_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cell/placement/image_index.h"
#include "cell/placement/interference_costs.h"
#include "cell/placement/neighbor_effects.h"
#include "cell/placement/round_policies.h"

namespace pomelotray {

// Learns which images slow each other down on one worker, from the tail latencies of serving tasks
// and the run times of finite ones, and rates workers by the pairs that are known to interfere.
// Nothing is stored: the next owner learns the pairs again. Used by one thread at a time.
class InterferenceModel : public PlacementCost {
 public:
  // Limits the pairs that are observed to 4,096: this many slowed images with the neighbors that
  // NeighborEffects keeps. The image observed the longest ago is dropped.
  static constexpr size_t kMaxSlowedImages = 4'096 / NeighborEffects::kMaxNeighbors;

  InterferenceModel() : costs_(&images_) {}

  // Takes note of an attempt of `run` that has just succeeded on the worker, before the attempt is
  // removed from it.
  void NoteSuccess(const CellJob& job, const StepRun& run, const CellWorker& worker,
                   const Attempt& attempt, absl::Time now);
  // Takes note of a running attempt in a report, after the report has been applied to it.
  void NoteRunning(const CellJob& job, const StepRun& run, const CellWorker& worker,
                   const Attempt& attempt, const RunningAttempt& reported, absl::Time now);
  // Drops what is known of the job, which is in a final state, or of the worker's process, which
  // has ended.
  void ForgetJob(const JobId& id);
  void ForgetWorker(const WorkerId& id);

  // Called before each round: decides which pairs interfere, at most once a second.
  void BeginRound(absl::Time now);
  // Called with each task that the round starts, before it is added to the worker. Counts those
  // that are on a worker without interfering neighbors although others were rated.
  void NotePlacement(const StepSpec& step, const CellWorker& worker);

  double LogSlowdown(const PlacementOption& option) const override;

  // The pairs that are known to interfere, ordered by their numbers.
  const std::vector<InterferingPair>& pairs() const { return pairs_; }
  bool HasPairs() const { return costs_.HasPairs(); }
  // Number of pairs that are observed.
  size_t ObservedPairs() const;
  // Returns the name of an image of a pair.
  std::string NameOf(ImageNumber image) const { return images_.NameOf(image); }
  // Returns the pairs as text, the largest slowdowns first, at most `limit`:
  // "<slowed> beside <neighbor> +<percent>%", separated by commas.
  std::string DescribePairs(size_t limit) const;
  // Changes whenever another set of pairs is known to interfere.
  int64_t version() const { return version_; }
  // Returns the number of placements that avoided an interfering neighbor since the last call.
  int64_t TakePlacementsAvoided() { return std::exchange(placements_avoided_, 0); }

 private:
  // What ran beside a running attempt.
  struct Exposure {
    // Until when the neighbors of the attempt are known.
    absl::Time until = absl::InfinitePast();
    // Sum over the tasks of a neighbor image of the seconds that they ran beside the attempt.
    std::vector<std::pair<ImageNumber, double>> task_seconds;
  };
  // The running attempts of one worker.
  struct WorkerExposures {
    // When the attempts' neighbors were noted last.
    absl::Time sampled_at = absl::InfinitePast();
    std::map<AttemptKey, Exposure> attempts;
  };
  // A report that is being applied.
  struct Report {
    const CellWorker* worker = nullptr;
    absl::Time at;
    WorkerExposures* exposures = nullptr;
    // The neighbors of finite attempts are noted with this report.
    bool sampled = false;
    bool has_neighbors = false;
  };
  // A running attempt of the worker that reports.
  struct Neighbor {
    ImageNumber image;
    absl::Time begin;
  };
  // A step of a job, over all occurrences.
  using StepKey = std::pair<JobId, int>;

  // Sets `report_` to the report of the worker at that time.
  void BeginReport(const CellWorker& worker, absl::Time now);
  // Reads the attempts on the worker of the report into `neighbors_`, once for each report.
  void ReadNeighbors();
  // Adds what has run beside the attempt since the last report.
  Exposure& ExtendExposure(const Attempt& attempt);
  // Whether the run times of the step's tasks say something about their neighbors.
  static bool HasComparableRunTimes(const CellJob& job, const StepSpec& step);
  void Observe(const CellJob& job, const StepRun& run, const CellWorker& worker, double log_value,
               const std::vector<std::pair<ImageNumber, double>>& mean_tasks, absl::Time now);
  NeighborEffects& EffectsOn(ImageNumber slowed);

  ImageIndex images_;
  InterferenceCosts costs_;
  std::map<ImageNumber, NeighborEffects> effects_;
  std::map<StepKey, StepBaseline> baselines_;
  std::map<WorkerId, WorkerExposures> exposures_;
  Report report_;
  std::vector<Neighbor> neighbors_;
  std::vector<InterferingPair> pairs_;
  absl::Time pairs_updated_at_ = absl::InfinitePast();
  int64_t version_ = 0;
  int64_t placements_avoided_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_MODEL_H_
