#ifndef POMELOTRAY_CELL_PLACEMENT_NEIGHBOR_EFFECTS_H_
#define POMELOTRAY_CELL_PLACEMENT_NEIGHBOR_EFFECTS_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/strong_id.h"
#include "cell/placement/image_index.h"

namespace pomelotray {

// How much of an image runs beside a task.
struct NeighborPresence {
  ImageNumber image;
  // log2(1 + n) for n tasks of the image. If n tasks and the slowed one share a saturated resource
  // equally, the logarithm of the slowdown is proportional to this.
  double amount = 0;
};

// What is usual for the tasks of one step: the decayed means of their observed values and of the
// presence of their neighbors.
struct StepBaseline {
  double weight = 0;
  double log_value = 0;
  // By slot of NeighborEffects.
  std::vector<NeighborPresence> presence;
  absl::Time updated_at = absl::InfinitePast();
};

// The estimated slowdown that an image suffers from one task of a neighbor image.
struct NeighborEffect {
  ImageNumber neighbor;
  // Logarithm, shrunk towards 0.
  double log_slowdown = 0;
  double standard_error = 0;
  // Decayed number of observations with the neighbor present.
  double observations = 0;
};

// Estimates which neighbor images slow the tasks of one image down, and by how much: a regression
// of the logarithms of latencies or run times, less what is usual for the step, on the presence of
// all neighbors at once. A neighbor that is usually there together with another one is thus judged
// by the observations in which they differ. Observations decay with kHalfLife. Used by one thread
// at a time.
class NeighborEffects {
 public:
  static constexpr absl::Duration kHalfLife = absl::Seconds(30);
  // Largest number of neighbor images; the one seen the longest ago is replaced.
  static constexpr size_t kMaxNeighbors = 32;

  // Standard deviation of the logarithms that is assumed before there are observations. Tail
  // latencies over half a second differ by a factor of 1.6 in either direction.
  static constexpr double kInitialDeviation = 0.5;

  // Adds an observation: a value of a task of the step whose usual values are in `baseline`, which
  // decays with `baseline_half_life`.
  void Observe(double log_value, const std::vector<NeighborPresence>& neighbors,
               const WorkerId& worker, absl::Duration baseline_half_life, absl::Time now,
               StepBaseline* baseline);
  // Returns the effects of all neighbors.
  std::vector<NeighborEffect> Estimate(absl::Time now);
  absl::Time last_observed() const { return last_observed_; }
  size_t size() const { return slots_.size(); }

 private:
  // One neighbor image.
  struct Slot {
    ImageNumber image;
    absl::Time seen_at = absl::InfinitePast();
    double observations = 0;
    // Workers of the observations, as bits of a hash: those since `generation_` and those of the
    // generation before.
    uint64_t workers = 0;
    uint64_t earlier_workers = 0;
    // Sum of the products of the neighbor's presence and the value, both relative to the baseline.
    double value_product = 0;
    // The same with the presence of each neighbor.
    std::vector<double> presence_products;
    double log_slowdown = 0;
  };

  void Decay(absl::Time now);
  // Returns the presence by slot; neighbors without a slot get one if there is room.
  std::vector<double> AssignSlots(const std::vector<NeighborPresence>& neighbors,
                                  const WorkerId& worker, absl::Time now);
  size_t FindSlot(ImageNumber image, absl::Time now);
  void Clear(size_t slot);
  // Decays the baseline and gives it the slots of this object.
  void Align(absl::Duration half_life, absl::Time now, StepBaseline* baseline) const;
  double EstimateNoise() const;

  std::vector<Slot> slots_;
  // Decayed number of observations, and the sum of the squares of their values relative to the
  // baseline.
  double weight_ = 0;
  double value_squares_ = 0;
  // Standard deviation of the observations, as of the last estimate.
  double deviation_ = kInitialDeviation;
  absl::Time updated_at_ = absl::InfinitePast();
  absl::Time last_observed_ = absl::InfinitePast();
  absl::Time generation_ = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_NEIGHBOR_EFFECTS_H_
