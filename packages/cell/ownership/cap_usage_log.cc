#include "cell/ownership/cap_usage_log.h"

#include "customers/unlimited.h"

namespace pomelotray {
namespace {

// A customer that stays at its cap is logged again after this time.
constexpr absl::Duration kRepeatInterval = absl::Seconds(5);
// A customer counts as below its cap after this time. As tasks end and start, one with a backlog
// is below it for moments.
constexpr absl::Duration kEndDelay = absl::Seconds(2);

}  // namespace

void CapUsageLog::Record(const std::map<CustomerId, CapLedger::CustomerTotal>& totals,
                         absl::Time now) {
  for (const auto& [customer, total] : totals) {
    if (!total.at_cap) {
      continue;
    }
    AtCap& state = at_cap_[customer];
    state.last_seen = now;
    if (now - state.recorded_at >= kRepeatInterval) {
      state.recorded_at = now;
      Emit(customer, total, /*at_cap=*/true);
    }
  }
  for (auto it = at_cap_.begin(); it != at_cap_.end();) {
    if (now - it->second.last_seen < kEndDelay) {
      ++it;
      continue;
    }
    const auto total = totals.find(it->first);
    Emit(it->first, total == totals.end() ? CapLedger::CustomerTotal() : total->second,
         /*at_cap=*/false);
    it = at_cap_.erase(it);
  }
}

void CapUsageLog::End() {
  for (const auto& [customer, state] : at_cap_) {
    Emit(customer, CapLedger::CustomerTotal(), /*at_cap=*/false);
  }
  at_cap_.clear();
}

void CapUsageLog::Emit(const CustomerId& customer, const CapLedger::CustomerTotal& total,
                       bool at_cap) {
  EventBuilder event = events_->Record(EventCode::kCustomerAtCap);
  event.With("customer", customer.value()).With("at_cap", int64_t{at_cap});
  const auto add = [&event](const char* used_field, int64_t used, const char* cap_field,
                            int64_t cap) {
    if (IsLimit(cap)) {
      event.With(used_field, used).With(cap_field, cap);
    }
  };
  add("used_cpu_milli", total.used.cpu.value(), "cap_cpu_milli", total.cap.cpu.value());
  add("used_memory_mib", total.used.memory.value(), "cap_memory_mib", total.cap.memory.value());
  add("used_accelerators", total.used.accelerators.value(), "cap_accelerators",
      total.cap.accelerators.value());
  event.With("waiting_cpu_milli", total.waiting.cpu.value());
  event.Emit();
}

}  // namespace pomelotray
