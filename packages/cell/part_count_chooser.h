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
  // No value: no worker is known yet, and some may be about to announce themselves.
  std::optional<int> Choose(const PoolName& pool, size_t workers, absl::Time now);

 private:
  std::map<PoolName, absl::Time> empty_since_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PART_COUNT_CHOOSER_H_
