#ifndef POMELOTRAY_CELL_PART_COUNT_CHOOSER_H_
#define POMELOTRAY_CELL_PART_COUNT_CHOOSER_H_

#include <cstddef>
#include <map>
#include <optional>

#include "absl/time/time.h"
#include "cell/pool_part.h"

namespace pomelotray {

// Decides into how many parts a new pool is cut, from the number of its workers.
class PartCountChooser {
 public:
  // No value: more workers may be about to announce themselves.
  std::optional<int> Choose(const PoolName& pool, size_t workers, absl::Time now);

 private:
  struct Count {
    size_t workers = 0;
    absl::Time since;
    absl::Time first_seen;
  };

  std::map<PoolName, Count> counts_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PART_COUNT_CHOOSER_H_
