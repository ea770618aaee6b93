#ifndef POMELOTRAY_CELL_NEW_ENTRY_H_
#define POMELOTRAY_CELL_NEW_ENTRY_H_

#include <string>

#include "cell/pool_part.h"

namespace pomelotray {

// An entry that is created once, for the owner of a part.
struct NewEntry {
  PartName part;
  std::string key;
  std::string value;
  // Another key that shows that the entry was created, and has been replaced since. Empty: none.
  std::string successor_key;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_NEW_ENTRY_H_
