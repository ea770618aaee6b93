#include "cell/placement/image_index.h"

#include <algorithm>
#include <vector>

namespace pomelotray {

ImageNumber ImageIndex::Intern(const std::string& image, absl::Time now) {
  if (image.empty()) {
    return ImageNumber(0);
  }
  const auto it = images_.find(image);
  if (it != images_.end()) {
    it->second.used_at = now;
    return it->second.number;
  }
  if (images_.size() >= capacity_) {
    DropOldHalf();
  }
  const ImageNumber number(++last_number_);
  images_.emplace(image, Entry{number, now});
  return number;
}

ImageNumber ImageIndex::Find(const std::string& image) const {
  const auto it = images_.find(image);
  return it == images_.end() ? ImageNumber(0) : it->second.number;
}

std::string ImageIndex::NameOf(ImageNumber number) const {
  const auto it = std::find_if(images_.begin(), images_.end(), [number](const auto& entry) {
    return entry.second.number == number;
  });
  return it == images_.end() ? std::string() : it->first;
}

void ImageIndex::DropOldHalf() {
  std::vector<std::pair<absl::Time, int64_t>> ages;
  ages.reserve(images_.size());
  for (const auto& [name, entry] : images_) {
    ages.emplace_back(entry.used_at, entry.number.value());
  }
  const auto middle = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
  std::nth_element(ages.begin(), middle, ages.end());
  const std::pair<absl::Time, int64_t> oldest_kept = *middle;
  for (auto it = images_.begin(); it != images_.end();) {
    const auto current = it++;
    if (std::pair(current->second.used_at, current->second.number.value()) < oldest_kept) {
      images_.erase(current);
    }
  }
}

}  // namespace pomelotray
