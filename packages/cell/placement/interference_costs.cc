#include "cell/placement/interference_costs.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {

void InterferenceCosts::SetPairs(const std::vector<InterferingPair>& pairs) {
  partners_.clear();
  for (const InterferingPair& pair : pairs) {
    AddPartner(pair.slowed, pair.neighbor)->suffered = pair.log_slowdown;
    AddPartner(pair.neighbor, pair.slowed)->inflicted = pair.log_slowdown;
  }
  BeginRound();
}

InterferenceCosts::Partner* InterferenceCosts::AddPartner(ImageNumber of, ImageNumber image) {
  std::vector<Partner>& partners = partners_[of];
  const auto it = std::find_if(partners.begin(), partners.end(),
                               [image](const Partner& partner) { return partner.image == image; });
  if (it != partners.end()) {
    return &*it;
  }
  partners.push_back(Partner{image});
  return &partners.back();
}

void InterferenceCosts::BeginRound() {
  counts_.clear();
  steps_with_cost_.clear();
  last_step_ = nullptr;
  last_partners_ = nullptr;
}

const std::vector<InterferenceCosts::Partner>* InterferenceCosts::FindPartners(
    const StepSpec& step) const {
  if (last_step_ != &step) {
    const auto it = partners_.find(images_->Find(step.image));
    last_partners_ = it == partners_.end() ? nullptr : &it->second;
    last_step_ = &step;
  }
  return last_partners_;
}

void InterferenceCosts::Count(const std::string& image, ImageCounts* counts) const {
  const ImageNumber number = images_->Find(image);
  const auto it = std::find_if(counts->begin(), counts->end(),
                               [number](const auto& entry) { return entry.first == number; });
  if (it != counts->end()) {
    ++it->second;
  } else if (partners_.count(number) > 0) {
    counts->emplace_back(number, 1);
  }
}

const InterferenceCosts::ImageCounts& InterferenceCosts::CountsOn(const CellWorker& worker) const {
  const auto [it, added] = counts_.try_emplace(&worker);
  if (added) {
    for (const auto& [key, attempt] : worker.attempts) {
      if (!attempt.stop_wanted) {
        Count(attempt.image, &it->second);
      }
    }
  }
  return it->second;
}

double InterferenceCosts::Cost(const StepSpec& step, const CellWorker& worker,
                               const std::vector<const StepSpec*>& placed) const {
  const std::vector<Partner>* const partners = HasPairs() ? FindPartners(step) : nullptr;
  if (partners == nullptr) {
    return 0;
  }
  const ImageCounts* counts = &CountsOn(worker);
  ImageCounts with_placed;
  if (!placed.empty()) {
    with_placed = *counts;
    for (const StepSpec* other : placed) {
      Count(other->image, &with_placed);
    }
    counts = &with_placed;
  }
  const ImageNumber own = images_->Find(step.image);
  const auto count_of = [counts](ImageNumber image) {
    const auto it = std::find_if(counts->begin(), counts->end(),
                                 [image](const auto& entry) { return entry.first == image; });
    return it == counts->end() ? 0 : it->second;
  };
  const int own_count = count_of(own);
  double cost = 0;
  for (const Partner& partner : *partners) {
    const int neighbors = count_of(partner.image);
    if (neighbors == 0) {
      continue;
    }
    cost += partner.suffered * std::log2(1.0 + neighbors);
    // What one more task adds to the slowdown of each of the neighbors. Tasks of the same image are
    // neighbors of each other, but not of themselves.
    const int before = partner.image == own ? own_count - 1 : own_count;
    cost += neighbors * partner.inflicted * (std::log2(2.0 + before) - std::log2(1.0 + before));
  }
  if (cost > 0) {
    steps_with_cost_.insert(&step);
  }
  return cost;
}

}  // namespace pomelotray
