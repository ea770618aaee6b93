#ifndef POMELOTRAY_CELL_PLACEMENT_IMAGE_INDEX_H_
#define POMELOTRAY_CELL_PLACEMENT_IMAGE_INDEX_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/strong_number.h"

namespace pomelotray {

// Number of an image, from 1 on; 0 stands for no image.
using ImageNumber = StrongNumber<struct ImageNumberTag>;

// Interns the names of images. When it is full, it drops the half of the images that were used the
// longest ago; an image that returns gets another number. Used by one thread at a time.
class ImageIndex {
 public:
  static constexpr size_t kDefaultCapacity = 8'192;

  explicit ImageIndex(size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  // Returns the number of the image; adds the image if it is not known. 0 if the name is empty.
  ImageNumber Intern(const std::string& image, absl::Time now);
  // Returns the number of the image, or 0 if it is not known.
  ImageNumber Find(const std::string& image) const;
  // Returns the name of the image, or an empty string if it was dropped. Takes linear time.
  std::string NameOf(ImageNumber number) const;
  size_t size() const { return images_.size(); }

 private:
  struct Entry {
    ImageNumber number;
    absl::Time used_at;
  };

  void DropOldHalf();

  const size_t capacity_;
  int64_t last_number_ = 0;
  absl::flat_hash_map<std::string, Entry> images_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_IMAGE_INDEX_H_
