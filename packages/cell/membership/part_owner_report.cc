#include "cell/membership/part_owner_report.h"

#include <algorithm>

namespace pomelotray {
namespace {

// A takeover after the loss of an owner takes less than this.
constexpr absl::Duration kLongAbsence = absl::Seconds(3);
// A part that still has no owner is logged again after this time.
constexpr absl::Duration kAbsenceInterval = absl::Seconds(5);
// Interval at which the numbers are logged while any part has no owner.
constexpr absl::Duration kNumbersInterval = absl::Seconds(1);

}  // namespace

void PartOwnerReport::Record(const std::vector<PartOwnership>& parts, absl::Time now) {
  int64_t unowned = 0;
  absl::Time first = now;
  for (const PartOwnership& part : parts) {
    if (part.unowned_since == absl::InfiniteFuture()) {
      absences_recorded_at_.erase(part.part);
      continue;
    }
    ++unowned;
    first = std::min(first, part.unowned_since);
    RecordLongAbsence(part, now);
  }
  const int64_t owned = static_cast<int64_t>(parts.size()) - unowned;
  const bool changed = owned != owned_ || unowned != unowned_;
  if (!changed && (unowned == 0 || now - recorded_at_ < kNumbersInterval)) {
    return;
  }
  owned_ = owned;
  unowned_ = unowned;
  recorded_at_ = now;
  events_->Record(EventCode::kPartOwners)
      .With("owned", owned)
      .With("unowned", unowned)
      .With("longest_unowned_ms", absl::ToInt64Milliseconds(now - first))
      .Emit();
}

void PartOwnerReport::RecordLongAbsence(const PartOwnership& part, absl::Time now) {
  if (now - part.unowned_since < kLongAbsence) {
    return;
  }
  const auto recorded = absences_recorded_at_.emplace(part.part, absl::InfinitePast()).first;
  if (now - recorded->second < kAbsenceInterval) {
    return;
  }
  recorded->second = now;
  events_->Record(EventCode::kPartWithoutOwner)
      .With("part", part.part.value())
      .With("unowned_ms", absl::ToInt64Milliseconds(now - part.unowned_since))
      .With("owner", part.absent_owner.value())
      .With(event_field::kReason, part.absent_owner.empty()
                                      ? "no instance has claimed the part"
                                      : "the owner in the claim is not a member")
      .Emit();
}

}  // namespace pomelotray
