#ifndef POMELOTRAY_CELL_MEMBERSHIP_PART_COUNT_CHOOSER_H_
#define POMELOTRAY_CELL_MEMBERSHIP_PART_COUNT_CHOOSER_H_

#include <cstddef>
#include <map>
#include <optional>

#include "absl/time/time.h"
#include "cell/membership/pool_part.h"

namespace pomelotray {

// Chooses the number of parts of a new pool from the number of its workers.
class PartCountChooser {
 public:
  // Takes the number of workers that are registered at `now`. Returns no value while that number is
  // still changing because more workers may be about to register.
  std::optional<int> Choose(const PoolName& pool, size_t workers, absl::Time now);

 private:
  struct WorkerObservation {
    size_t workers = 0;
    // When `workers` last changed.
    absl::Time since;
    absl::Time first_seen;
  };

  std::map<PoolName, WorkerObservation> observations_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_PART_COUNT_CHOOSER_H_
