#include "chiveglade/sched/planner.h"

#include <utility>

#include "src/sched/planner_impl.h"

namespace chiveglade::sched {
namespace {

bool IsShare(double value) {
  return value > 0 && value <= 1;
}

bool Valid(const planner_options& options) {
  return options.placement_candidates > 0 && options.starts_per_second > 0 &&
         options.starts_per_vm_second > 0 &&
         options.return_ramp > millis::zero() &&
         options.measurement_lag > millis::zero() &&
         options.initial_probe_delay > millis::zero() &&
         options.hold_timeout > millis::zero() &&
         IsShare(options.evacuation_share) &&
         IsShare(options.placement_margin) &&
         IsShare(options.return_initial_share) &&
         IsShare(options.quarantine_share);
}

}  // namespace

planner::planner(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

planner::~planner() = default;

result<std::unique_ptr<planner>> planner::Make(planner_options options,
                                               random_fn random) {
  if (!Valid(options) || !random) {
    return reason{"bad_options",
                  "Limits must be positive, shares in (0, 1], and a random "
                  "source is needed."};
  }
  return std::unique_ptr<planner>(
      new planner(std::make_unique<impl>(options, std::move(random))));
}

void planner::SetManifest(const config::manifest& manifest) {
  impl_->SetManifest(manifest);
}

void planner::Observe(const state::heartbeat& report, boot_time now) {
  impl_->Observe(report, now);
}

void planner::ObserveEnd(const state::attempt_ended& end,
                         const std::string& vm,
                         const state::job_spec& spec,
                         boot_time now) {
  impl_->ObserveEnd(end, vm, spec, now);
}

plan planner::Plan(const state::cluster_state& state,
                   const cluster_view& view) {
  return impl_->Plan(state, view);
}

std::string planner::SaveHints() const {
  return impl_->SaveHints();
}

void planner::LoadHints(const std::string& hints) {
  impl_->LoadHints(hints);
}

}  // namespace chiveglade::sched
