#include "chiveglade/authority/scheduler.h"

#include <algorithm>
#include <utility>

#include "control_rows.h"
#include "decision.h"
#include "recovery.h"
#include "vm_views.h"

namespace chiveglade::authority {

result<std::unique_ptr<scheduler>> scheduler::Make(scheduler_options options,
                                                   store::table_service table,
                                                   store::object_store objects,
                                                   planner_hooks planner,
                                                   clock_fn clock,
                                                   random_fn random) {
  if (options.name.empty() || options.address.empty()) {
    return reason{"bad_options", "the scheduler needs a name and an address"};
  }
  if (!table.read || !table.scan || !table.commit || !objects.put ||
      !objects.get || !planner.plan || !clock || !random) {
    return reason{"bad_options", "a required hook of the scheduler is not set"};
  }
  if (options.append_interval <= millis(0) ||
      options.scheduler_lease <= options.idle_append_interval) {
    return reason{"bad_options",
                  "the scheduler lease must exceed the idle append interval"};
  }
  return std::unique_ptr<scheduler>(
      new scheduler(std::move(options), std::move(table), std::move(objects),
                    std::move(planner), std::move(clock), std::move(random)));
}

result<std::unique_ptr<scheduler>> scheduler::Make(
    scheduler_options options,
    store::table_service table,
    store::object_store objects,
    std::unique_ptr<sched::planner> planner,
    clock_fn clock,
    random_fn random) {
  if (!planner) {
    return reason{"bad_options", "the scheduler needs a planner"};
  }
  return Make(std::move(options), std::move(table), std::move(objects),
              MakePlannerHooks(std::move(planner)), std::move(clock),
              std::move(random));
}

scheduler::scheduler(scheduler_options options,
                     store::table_service table,
                     store::object_store objects,
                     planner_hooks planner,
                     clock_fn clock,
                     random_fn random)
    : options_(std::move(options)),
      table_(std::move(table)),
      objects_(std::move(objects)),
      planner_(std::move(planner)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      journal_(std::make_unique<journal>(
          journal_options{options_.name, options_.address},
          table_,
          clock_,
          random_)),
      control_rows_(
          std::make_unique<control_rows>(table_,
                                         options_.command_poll_interval,
                                         options_.data_centre_poll_interval)),
      vm_views_(std::make_unique<vm_views>()),
      self_(std::make_shared<scheduler*>(this)) {}

scheduler::~scheduler() = default;

void scheduler::Log(const std::string& line) const {
  if (options_.log) {
    options_.log(line);
  }
}

uint64_t scheduler::epoch() const {
  return holds_role() ? journal_->head().epoch : 0;
}

std::string scheduler::scheduler_address() const {
  if (holds_role()) {
    return options_.address;
  }
  return seen_head_.head.released ? std::string() : seen_head_.head.address;
}

void scheduler::SetManifest(uint64_t version,
                            const config::manifest& manifest) {
  if (version <= manifest_version_) {
    return;
  }
  manifest_version_ = version;
  manifest_ = manifest;
  manifest_pending_ = true;
  declared_jobs_.clear();
  for (const auto& job : manifest_.jobs) {
    declared_jobs_.insert(job.name);
  }
  if (planner_.set_manifest) {
    planner_.set_manifest(manifest_);
  }
}

void scheduler::Tick() {
  const boot_time now = clock_();
  journal_->Tick();
  switch (role_) {
    case role::kWatching:
      recovery_.reset();
      PollHead(now);
      return;
    case role::kHolding:
      recovery_.reset();
      RunRound(now);
      return;
    case role::kRecovering:
    case role::kTakingOver:
    case role::kReleased:
      return;
  }
}

millis scheduler::TakeoverDelay() {
  const bool vacant = seen_head_.version == 0 || seen_head_.head.released;
  const auto jitter = static_cast<uint64_t>(options_.takeover_jitter.count());
  return (vacant ? millis(0) : options_.scheduler_lease) +
         millis(random_() % (jitter + 1));
}

void scheduler::PollHead(boot_time now) {
  if (head_read_in_flight_ || now < next_head_read_) {
    return;
  }
  head_read_in_flight_ = true;
  next_head_read_ = now + options_.head_poll_interval;
  ReadHeadRow(table_,
              [self = std::weak_ptr(self_),
               generation = role_generation_](const result<head_row>& found) {
                if (const auto at = self.lock()) {
                  (*at)->head_read_in_flight_ = false;
                  if ((*at)->role_generation_ == generation) {
                    (*at)->OnHeadRead(found);
                  }
                }
              });
}

void scheduler::OnHeadRead(const result<head_row>& found) {
  if (!found) {
    return;
  }
  const boot_time now = clock_();
  // The lease runs only while the head is read without gaps: after a store
  // outage or a pause of this process the holder must get a chance to append
  // first.
  const bool gap = now > last_head_read_ + 2 * options_.head_poll_interval;
  if (!std::exchange(head_read_once_, true) || gap || *found != seen_head_) {
    seen_head_ = *found;
    head_seen_at_ = now;
    takeover_delay_ = TakeoverDelay();
  }
  last_head_read_ = now;
  const boot_time due = head_seen_at_ + takeover_delay_;
  if (now >= due && !releasing_) {
    Recover();
    return;
  }
  next_head_read_ = std::min(now + options_.head_poll_interval, due);
}

void scheduler::Recover() {
  role_ = role::kRecovering;
  ++role_generation_;
  recovery_ = std::make_unique<recovery>(
      table_, objects_, seen_head_, [this](result<state::snapshot> found) {
        if (!found) {
          BecomeWatcher(found.last_reason().detail);
          return;
        }
        committed_ = std::move(found->state);
        if (planner_.load_hints) {
          planner_.load_hints(found->hints);
        }
        role_ = role::kTakingOver;
        journal_->TakeOver(seen_head_, [this](append_status status) {
          OnTakeoverAppended(status);
        });
      });
  recovery_->Start();
}

void scheduler::OnTakeoverAppended(append_status status) {
  if (status != append_status::kCommitted) {
    BecomeWatcher("the takeover was not committed");
    return;
  }
  const boot_time now = clock_();
  role_ = role::kHolding;
  ++role_generation_;
  ++counters_.takeovers;
  proposed_ = committed_;
  holding_since_ = now;
  next_decision_ = now;
  next_housekeeping_ = now;
  last_drain_version_ = journal_->head_version();
  manifest_pending_ = manifest_version_ != 0;
  stored_snapshot_ = journal_->head().snapshot;
  attempted_snapshot_ = stored_snapshot_;
  last_change_sequence_ = journal_->head().sequence;
  last_snapshot_at_ = now;
  snapshot_in_flight_ = false;
  Log("role=scheduler epoch=" + std::to_string(journal_->head().epoch));
}

void scheduler::BecomeWatcher(const std::string& why) {
  if (holds_role()) {
    ++counters_.losses;
  }
  role_ = releasing_ ? role::kReleased : role::kWatching;
  ++role_generation_;
  committed_ = {};
  proposed_ = {};
  ClearBatch();
  vm_views_->Clear();
  start_ticks_.clear();
  stop_reasons_.clear();
  throttles_.clear();
  why_pending_.clear();
  ended_since_.clear();
  control_rows_ =
      std::make_unique<control_rows>(table_, options_.command_poll_interval,
                                     options_.data_centre_poll_interval);
  head_read_once_ = false;
  next_head_read_ = clock_() + options_.head_poll_interval;
  Log("role=watcher reason=\"" + why + "\"");
  if (releasing_) {
    FinishRelease();
  }
}

void scheduler::Release(std::function<void()> released) {
  releasing_ = true;
  on_released_ = std::move(released);
  if (role_ == role::kWatching || role_ == role::kRecovering) {
    recovery_.reset();
    role_ = role::kReleased;
    ++role_generation_;
  }
  if (role_ == role::kReleased) {
    FinishRelease();
  }
}

void scheduler::FinishRelease() {
  if (const auto released = std::exchange(on_released_, nullptr)) {
    released();
  }
}

bool scheduler::IsOutOfService(const std::string& name) const {
  return control_rows_->IsOutOfService(name);
}

}  // namespace chiveglade::authority
