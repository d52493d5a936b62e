#include "src/sched/measurements.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::sched {
namespace {

// Averages below this are dropped, since the neighbours left long ago.
constexpr double kMinAverageCount = 0.02;

neighbour_count& AverageOf(std::vector<neighbour_count>& counts,
                           class_index klass) {
  for (auto& entry : counts) {
    if (entry.klass == klass) {
      return entry;
    }
  }
  return counts.emplace_back(neighbour_count{klass, 0});
}

// Searches from `hint` on, since reports usually list attempts in the order of
// the residents. Sets `hint` to the position after the match.
resident* FindResident(vm_slot& slot,
                       const state::attempt_id& attempt,
                       size_t& hint) {
  const size_t count = slot.residents.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t at = (hint + i) % count;
    if (slot.residents[at].attempt == attempt) {
      hint = at + 1;
      return &slot.residents[at];
    }
  }
  return nullptr;
}

}  // namespace

void measurements::Observe(const state::heartbeat& report, boot_time now) {
  pending_reports_[report.vm.name] = {report, now};
}

void measurements::ProcessReports(vm_index& index, plan_draft& draft) {
  for (const auto& [vm, entry] : pending_reports_) {
    auto* slot = index.Find(vm);
    if (slot != nullptr && slot->incarnation == entry.report.vm.incarnation) {
      ProcessReport(*slot, entry, draft);
    }
  }
  pending_reports_.clear();
}

void measurements::ProcessReport(vm_slot& slot,
                                 const received_report& entry,
                                 plan_draft& draft) {
  UpdateClassAverages(slot, entry.received);
  std::optional<slowdown_reading> worst;
  size_t hint = 0;
  for (const auto& report : entry.report.attempts) {
    auto* found = FindResident(slot, report.attempt, hint);
    if (found == nullptr) {
      continue;
    }
    found->work_done = std::max(found->work_done, report.work_done);
    if (report.used != resources{}) {
      demand_.ObserveUsage(found->klass, found->declared, report.used);
    }
    const auto& klass = classes_.at(found->klass);
    if (!klass.latency_critical || report.slowdown_pct == 0) {
      continue;
    }
    Learn(slot, *found, report.slowdown_pct / 100.0, entry.received);
    const double limit = std::max(1U, klass.slowdown_limit_pct);
    const slowdown_reading reading{report.slowdown_pct / limit,
                                   (limit - report.slowdown_pct) / 100};
    if (!worst || reading.share > worst->share) {
      worst = reading;
    }
  }
  guard_.OnReport(slot, worst, draft);
}

void measurements::UpdateClassAverages(vm_slot& slot, boot_time now) const {
  const double passed =
      static_cast<double>(
          std::max(millis(0), now - slot.class_averages_at).count()) /
      static_cast<double>(options_.measurement_lag.count());
  const double keep = std::exp(-passed);
  slot.class_averages_at = now;
  for (auto& entry : slot.class_averages) {
    entry.count *= keep;
  }
  const bool throttled = guard_.HasThrottles(slot.name);
  for (const auto& other : slot.residents) {
    AverageOf(slot.class_averages, other.klass).count +=
        (1 - keep) *
        (throttled ? guard_.CpuShare(slot.name, other.attempt) : 1);
  }
  std::erase_if(slot.class_averages, [](const auto& entry) {
    return entry.count < kMinAverageCount;
  });
}

void measurements::Learn(const vm_slot& slot,
                         const resident& victim,
                         double slowdown,
                         boot_time now) {
  if (options_.interference == interference_rule::kReactive) {
    return;
  }
  auto neighbours = slot.class_averages;
  for (auto& entry : neighbours) {
    if (entry.klass == victim.klass) {
      entry.count = std::max(0.0, entry.count - 1);
    }
  }
  model_.Observe(victim.klass, neighbours, slowdown, now);
}

}  // namespace chiveglade::sched
