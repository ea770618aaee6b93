#ifndef POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_COSTS_H_
#define POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_COSTS_H_

#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "cell/placement/image_index.h"
#include "cell/placement/round_policies.h"

namespace pomelotray {

// A pair of images of which the neighbor slows the other one down.
struct InterferingPair {
  ImageNumber slowed;
  ImageNumber neighbor;
  // Logarithm of the slowdown by one task of the neighbor.
  double log_slowdown = 0;
};

// Rates workers by the known pairs of images that interfere. Keeps the images on each rated worker
// until the next round begins. Used by one thread at a time.
class InterferenceCosts {
 public:
  explicit InterferenceCosts(const ImageIndex* images) : images_(images) {}

  // Replaces the pairs and begins a round.
  void SetPairs(const std::vector<InterferingPair>& pairs);
  // Drops what is known of the workers, which may have changed.
  void BeginRound();
  bool HasPairs() const { return !partners_.empty(); }

  // Returns the sum of the logarithms of the slowdowns that a task of the step and those on the
  // worker cause each other, including `placed`, tasks that the round has placed there. At most one
  // look-up for each distinct step and worker of the round, and one step for each distinct image.
  double Cost(const StepSpec& step, const CellWorker& worker,
              const std::vector<const StepSpec*>& placed) const;
  // Whether a worker was rated in this round on which the step would have had a cost.
  bool HadCost(const StepSpec& step) const { return steps_with_cost_.count(&step) > 0; }

 private:
  // What two images do to each other.
  struct Partner {
    ImageNumber image;
    // Slowdown of the image that the entry belongs to, and that of its partner.
    double suffered = 0;
    double inflicted = 0;
  };
  // Numbers of tasks by image; only images of known pairs.
  using ImageCounts = std::vector<std::pair<ImageNumber, int>>;

  // Returns the partners of the step's image, or null.
  const std::vector<Partner>* FindPartners(const StepSpec& step) const;
  Partner* AddPartner(ImageNumber of, ImageNumber image);
  const ImageCounts& CountsOn(const CellWorker& worker) const;
  void Count(const std::string& image, ImageCounts* counts) const;

  const ImageIndex* const images_;
  absl::flat_hash_map<ImageNumber, std::vector<Partner>> partners_;
  // Caches of the current round.
  mutable absl::flat_hash_map<const CellWorker*, ImageCounts> counts_;
  mutable absl::flat_hash_set<const StepSpec*> steps_with_cost_;
  mutable const StepSpec* last_step_ = nullptr;
  mutable const std::vector<Partner>* last_partners_ = nullptr;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_INTERFERENCE_COSTS_H_
