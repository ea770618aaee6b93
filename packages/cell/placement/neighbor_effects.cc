#include "cell/placement/neighbor_effects.h"

#include <algorithm>
#include <cmath>

#include "absl/hash/hash.h"

namespace pomelotray {
namespace {

// Number of observations without a slowdown that each effect starts with (ridge regression).
constexpr double kShrinkage = 4;
// Weight of the assumed deviation in the estimate of the noise, in observations.
constexpr double kNoisePrior = 8;
// Deviations from the expected value are clamped to this multiple of their standard deviation, but
// to no less than the first and no more than the second limit: a factor of 1.6 and one of 4.
constexpr double kClampDeviations = 2.5;
constexpr double kMinClamp = 0.5;
const double kMaxClamp = std::log(4.0);
// Standard deviation of the logarithms of the workers' speeds. A neighbor that was seen on few
// workers may seem to slow tasks down although the workers do: the 5th percentile of their run-time
// factors is 0.63, the largest factor 1.49.
constexpr double kWorkerDeviation = 0.2;

double DecayFactor(absl::Duration age, absl::Duration half_life) {
  return std::exp2(-absl::FDivDuration(std::max(age, absl::ZeroDuration()), half_life));
}

// Inverts the symmetric positive definite matrix in place (Gauss-Jordan; such a matrix needs no
// pivoting).
void Invert(std::vector<std::vector<double>>* matrix) {
  std::vector<std::vector<double>>& m = *matrix;
  const size_t size = m.size();
  for (size_t pivot = 0; pivot < size; ++pivot) {
    const double scale = 1 / m[pivot][pivot];
    m[pivot][pivot] = 1;
    for (double& value : m[pivot]) {
      value *= scale;
    }
    for (size_t row = 0; row < size; ++row) {
      const double factor = m[row][pivot];
      if (row == pivot || factor == 0) {
        continue;
      }
      m[row][pivot] = 0;
      for (size_t column = 0; column < size; ++column) {
        m[row][column] -= factor * m[pivot][column];
      }
    }
  }
}

int CountBits(uint64_t bits) {
  int count = 0;
  for (; bits != 0; bits &= bits - 1) {
    ++count;
  }
  return count;
}

}  // namespace

void NeighborEffects::Decay(absl::Time now) {
  if (updated_at_ == absl::InfinitePast()) {
    updated_at_ = now;
    generation_ = now;
    return;
  }
  const double factor = DecayFactor(now - updated_at_, kHalfLife);
  updated_at_ = std::max(updated_at_, now);
  weight_ *= factor;
  value_squares_ *= factor;
  const bool next_generation = now - generation_ >= kHalfLife;
  for (Slot& slot : slots_) {
    slot.observations *= factor;
    slot.value_product *= factor;
    for (double& product : slot.presence_products) {
      product *= factor;
    }
    if (next_generation && slot.workers != 0) {
      slot.earlier_workers = slot.workers;
      slot.workers = 0;
    }
  }
  if (next_generation) {
    generation_ = now;
  }
}

void NeighborEffects::Clear(size_t slot) {
  slots_[slot] = Slot();
  slots_[slot].presence_products.assign(slots_.size(), 0);
  for (Slot& other : slots_) {
    other.presence_products[slot] = 0;
  }
}

size_t NeighborEffects::FindSlot(ImageNumber image, absl::Time now) {
  const auto it = std::find_if(slots_.begin(), slots_.end(),
                               [image](const Slot& slot) { return slot.image == image; });
  if (it != slots_.end()) {
    return static_cast<size_t>(it - slots_.begin());
  }
  size_t slot = slots_.size();
  if (slots_.size() < kMaxNeighbors) {
    slots_.emplace_back();
    for (Slot& other : slots_) {
      other.presence_products.resize(slots_.size());
    }
  } else {
    const auto oldest =
        std::min_element(slots_.begin(), slots_.end(),
                         [](const Slot& a, const Slot& b) { return a.seen_at < b.seen_at; });
    if (oldest->seen_at >= now) {
      return kMaxNeighbors;
    }
    slot = static_cast<size_t>(oldest - slots_.begin());
    Clear(slot);
  }
  slots_[slot].image = image;
  return slot;
}

std::vector<double> NeighborEffects::AssignSlots(const std::vector<NeighborPresence>& neighbors,
                                                 const WorkerId& worker, absl::Time now) {
  std::vector<double> presence(kMaxNeighbors, 0);
  const uint64_t worker_bit = uint64_t{1} << (absl::Hash<WorkerId>()(worker) % 64);
  for (const NeighborPresence& neighbor : neighbors) {
    const size_t slot = FindSlot(neighbor.image, now);
    if (slot == kMaxNeighbors) {
      continue;
    }
    presence[slot] = neighbor.amount;
    slots_[slot].seen_at = now;
    slots_[slot].observations += 1;
    slots_[slot].workers |= worker_bit;
  }
  presence.resize(slots_.size());
  return presence;
}

void NeighborEffects::Align(absl::Duration half_life, absl::Time now,
                            StepBaseline* baseline) const {
  if (baseline->updated_at != absl::InfinitePast()) {
    baseline->weight *= DecayFactor(now - baseline->updated_at, half_life);
  }
  baseline->updated_at = now;
  baseline->presence.resize(slots_.size());
  for (size_t i = 0; i < slots_.size(); ++i) {
    // A neighbor that has just got the slot was absent before.
    if (baseline->presence[i].image != slots_[i].image) {
      baseline->presence[i] = NeighborPresence{slots_[i].image, 0};
    }
  }
}

void NeighborEffects::Observe(double log_value, const std::vector<NeighborPresence>& neighbors,
                              const WorkerId& worker, absl::Duration baseline_half_life,
                              absl::Time now, StepBaseline* baseline) {
  Decay(now);
  last_observed_ = now;
  std::vector<double> presence = AssignSlots(neighbors, worker, now);
  Align(baseline_half_life, now, baseline);
  double expected = 0;
  for (size_t i = 0; i < slots_.size(); ++i) {
    presence[i] -= baseline->presence[i].amount;
    expected += presence[i] * slots_[i].log_slowdown;
  }
  double value = log_value - baseline->log_value;
  if (baseline->weight > 0) {
    const double limit = std::clamp(kClampDeviations * deviation_, kMinClamp, kMaxClamp);
    value = expected + std::clamp(value - expected, -limit, limit);
  }
  // The baseline is uncertain itself while it consists of few observations (Welford's update).
  const double weight = baseline->weight / (baseline->weight + 1);
  weight_ += weight;
  value_squares_ += weight * value * value;
  for (size_t i = 0; i < slots_.size(); ++i) {
    slots_[i].value_product += weight * presence[i] * value;
    for (size_t j = 0; j < slots_.size(); ++j) {
      slots_[i].presence_products[j] += weight * presence[i] * presence[j];
    }
  }
  baseline->weight += 1;
  baseline->log_value += value / baseline->weight;
  for (size_t i = 0; i < slots_.size(); ++i) {
    baseline->presence[i].amount += presence[i] / baseline->weight;
  }
}

double NeighborEffects::EstimateNoise() const {
  double squares = value_squares_;
  for (const Slot& slot : slots_) {
    squares -= 2 * slot.log_slowdown * slot.value_product;
    for (size_t j = 0; j < slots_.size(); ++j) {
      squares += slot.log_slowdown * slots_[j].log_slowdown * slot.presence_products[j];
    }
  }
  return (std::max(squares, 0.0) + kNoisePrior * kInitialDeviation * kInitialDeviation) /
         (weight_ + kNoisePrior);
}

std::vector<NeighborEffect> NeighborEffects::Estimate(absl::Time now) {
  Decay(now);
  std::vector<std::vector<double>> inverse;
  inverse.reserve(slots_.size());
  for (size_t i = 0; i < slots_.size(); ++i) {
    inverse.push_back(slots_[i].presence_products);
    inverse[i][i] += kShrinkage;
  }
  Invert(&inverse);
  for (size_t i = 0; i < slots_.size(); ++i) {
    slots_[i].log_slowdown = 0;
    for (size_t j = 0; j < slots_.size(); ++j) {
      slots_[i].log_slowdown += inverse[i][j] * slots_[j].value_product;
    }
  }
  const double noise = EstimateNoise();
  deviation_ = std::sqrt(noise);
  std::vector<NeighborEffect> effects;
  effects.reserve(slots_.size());
  for (size_t i = 0; i < slots_.size(); ++i) {
    const Slot& slot = slots_[i];
    const int workers = std::max(CountBits(slot.workers | slot.earlier_workers), 1);
    const double worker_variance = kWorkerDeviation * kWorkerDeviation / workers;
    effects.push_back(NeighborEffect{slot.image, slot.log_slowdown,
                                     std::sqrt(noise * inverse[i][i] + worker_variance),
                                     slot.observations});
  }
  return effects;
}

}  // namespace pomelotray
