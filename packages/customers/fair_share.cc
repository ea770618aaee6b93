#include "customers/fair_share.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace pomelotray {
namespace {

constexpr size_t kDimensions = 3;
using Shares = std::array<double, kDimensions>;

double ShareOf(int64_t amount, int64_t capacity) {
  return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0;
}

Shares SharesOf(const Resources& amount, const Resources& capacity) {
  return {ShareOf(amount.cpu.value(), capacity.cpu.value()),
          ShareOf(amount.memory.value(), capacity.memory.value()),
          ShareOf(amount.accelerators.value(), capacity.accelerators.value())};
}

// A group whose part still grows.
struct GrowingGroup {
  size_t index = 0;
  double weight = 1;
  // Shares of the pool that the group needs in total, and the largest of them.
  Shares needed = {};
  double dominant = 0;
  bool settled = false;

  // The level, in dominant share per weight, at which the group has what it needs.
  double FullLevel() const { return dominant / weight; }
  // How fast the group's share in the dimension grows with the level.
  double Slope(size_t dimension) const { return needed[dimension] / FullLevel(); }
};

// Raises the level of all groups together. In each dimension, the shares that are in use grow
// linearly until a group has what it needs or the dimension is used up.
class LevelRise {
 public:
  explicit LevelRise(std::vector<GrowingGroup> groups) : groups_(std::move(groups)) {
    std::sort(groups_.begin(), groups_.end(), [](const GrowingGroup& a, const GrowingGroup& b) {
      return a.FullLevel() < b.FullLevel();
    });
    for (const GrowingGroup& group : groups_) {
      for (size_t d = 0; d < kDimensions; ++d) {
        slope_[d] += group.Slope(d);
      }
    }
  }

  void Run(std::vector<ShareParts>* parts) {
    for (GrowingGroup& group : groups_) {
      while (!group.settled) {
        const size_t dimension = NextUsedUp();
        const double level = LevelAtEnd(dimension);
        if (group.FullLevel() <= level) {
          RaiseTo(group.FullLevel());
          (*parts)[group.index].entitled = group.dominant;
          Settle(&group);
        } else {
          RaiseTo(level);
          SettleAllThatNeed(dimension, parts);
        }
      }
    }
  }

 private:
  double LevelAtEnd(size_t dimension) const {
    return slope_[dimension] > 0 ? level_ + std::max(0.0, 1 - used_[dimension]) / slope_[dimension]
                                 : std::numeric_limits<double>::infinity();
  }
  size_t NextUsedUp() const {
    size_t next = 0;
    for (size_t d = 1; d < kDimensions; ++d) {
      next = LevelAtEnd(d) < LevelAtEnd(next) ? d : next;
    }
    return next;
  }
  void RaiseTo(double level) {
    for (size_t d = 0; d < kDimensions; ++d) {
      used_[d] += slope_[d] * (level - level_);
    }
    level_ = level;
  }
  void Settle(GrowingGroup* group) {
    group->settled = true;
    for (size_t d = 0; d < kDimensions; ++d) {
      slope_[d] -= group->Slope(d);
    }
  }
  void SettleAllThatNeed(size_t dimension, std::vector<ShareParts>* parts) {
    for (GrowingGroup& group : groups_) {
      if (!group.settled && group.needed[dimension] > 0) {
        (*parts)[group.index].entitled = group.weight * level_;
        Settle(&group);
      }
    }
    // Rounding errors would otherwise leave a slope, and so a dimension that is used up again.
    slope_[dimension] = 0;
  }

  std::vector<GrowingGroup> groups_;
  double level_ = 0;
  Shares used_ = {};
  Shares slope_ = {};
};

}  // namespace

bool IsContended(const Resources& waiting, const Resources& free) {
  // Free capacity is negative on workers that were replaced by smaller ones.
  const Resources available = Max(free, Resources());
  return waiting.cpu > available.cpu || waiting.memory > available.memory ||
         waiting.accelerators > available.accelerators;
}

std::vector<ShareParts> DivideCapacity(const Resources& capacity,
                                       const std::vector<ShareGroup>& groups) {
  std::vector<ShareParts> parts(groups.size());
  std::vector<GrowingGroup> growing;
  double active_weight = 0;
  for (size_t i = 0; i < groups.size(); ++i) {
    GrowingGroup group;
    group.index = i;
    group.weight = groups[i].weight;
    group.needed = SharesOf(groups[i].used + groups[i].waiting, capacity);
    group.dominant = *std::max_element(group.needed.begin(), group.needed.end());
    if (group.dominant > 0) {
      active_weight += group.weight;
      growing.push_back(group);
    }
  }
  for (const GrowingGroup& group : growing) {
    parts[group.index].guaranteed = group.weight / active_weight;
  }
  LevelRise(std::move(growing)).Run(&parts);
  return parts;
}

}  // namespace pomelotray
