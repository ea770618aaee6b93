#include "customers/cap_division.h"

#include <algorithm>
#include <numeric>

namespace pomelotray {
namespace {

class Division {
 public:
  Division(const CapAmounts& cap, const std::vector<CapClaim>& claims)
      : cap_(cap), claims_(claims), rest_(cap), parts_(claims.size(), CapAmounts{}) {}

  void GiveUsed() {
    for (size_t i = 0; i < claims_.size(); ++i) {
      Give(i, claims_[i].used);
    }
  }

  void GiveUnits(size_t first) {
    bool first_fits = true;
    for (size_t n = 0; n < claims_.size(); ++n) {
      const size_t i = (first + n) % claims_.size();
      if (Fits(claims_[i].unit)) {
        Give(i, claims_[i].unit);
      } else if (i == first) {
        first_fits = false;
      }
    }
    // A part with a unit that does not fit may also have smaller tasks, for which fragments of the
    // rest may be too small.
    if (!first_fits) {
      Give(first, Missing(first));
    }
  }

  void GiveWaiting() {
    for (size_t d = 0; d < kCapDimensions; ++d) {
      std::vector<size_t> order(claims_.size());
      std::iota(order.begin(), order.end(), 0);
      std::sort(order.begin(), order.end(),
                [&](size_t a, size_t b) { return Missing(a)[d] < Missing(b)[d]; });
      for (size_t n = 0; n < order.size(); ++n) {
        const int64_t share = rest_[d] / static_cast<int64_t>(order.size() - n);
        Add(order[n], d, std::min(Missing(order[n])[d], share));
      }
    }
  }

  void GiveRest() {
    for (size_t d = 0; d < kCapDimensions; ++d) {
      double capacity = 0;
      for (const CapClaim& claim : claims_) {
        capacity += static_cast<double>(claim.capacity[d]);
      }
      const double rest = static_cast<double>(rest_[d]);
      for (size_t i = 0; capacity > 0 && i < claims_.size(); ++i) {
        const double share = static_cast<double>(claims_[i].capacity[d]) / capacity;
        Add(i, d, static_cast<int64_t>(rest * share));
      }
    }
  }

  std::vector<CapAmounts> Take() {
    for (CapAmounts& part : parts_) {
      for (size_t d = 0; d < kCapDimensions; ++d) {
        part[d] = IsLimit(cap_[d]) ? part[d] : kNoLimit;
      }
    }
    return std::move(parts_);
  }

 private:
  bool Fits(const CapAmounts& amounts) const {
    for (size_t d = 0; d < kCapDimensions; ++d) {
      if (IsLimit(cap_[d]) && amounts[d] > rest_[d]) {
        return false;
      }
    }
    return true;
  }

  // Returns what the part waits for and was not given.
  CapAmounts Missing(size_t i) const {
    CapAmounts missing{};
    for (size_t d = 0; d < kCapDimensions; ++d) {
      missing[d] = std::max<int64_t>(claims_[i].used[d] + claims_[i].waiting[d] - parts_[i][d], 0);
    }
    return missing;
  }

  void Give(size_t i, const CapAmounts& amounts) {
    for (size_t d = 0; d < kCapDimensions; ++d) {
      Add(i, d, amounts[d]);
    }
  }

  void Add(size_t i, size_t d, int64_t amount) {
    if (!IsLimit(cap_[d])) {
      return;
    }
    const int64_t given = std::clamp<int64_t>(amount, 0, rest_[d]);
    parts_[i][d] += given;
    rest_[d] -= given;
  }

  const CapAmounts& cap_;
  const std::vector<CapClaim>& claims_;
  CapAmounts rest_;
  std::vector<CapAmounts> parts_;
};

}  // namespace

std::vector<CapAmounts> DivideCap(const CapAmounts& cap, const std::vector<CapClaim>& claims,
                                  size_t first) {
  Division division(cap, claims);
  division.GiveUsed();
  division.GiveUnits(first);
  division.GiveWaiting();
  division.GiveRest();
  return division.Take();
}

}  // namespace pomelotray
