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
    return reason{"bad_options", "a hook of the scheduler is not set"};
  }
  if (options.append_interval <= millis(0) ||
      options.scheduler_lease <= options.idle_append) {
    return reason{"bad_options",
                  "the scheduler lease must be longer than the idle append"};
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
      control_(std::make_unique<control_rows>(table_,
                                              options_.command_poll,
                                              options_.data_centre_poll)),
      views_(std::make_unique<vm_views>()),
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
  return seen_.head.released ? std::string() : seen_.head.address;
}

void scheduler::SetManifest(uint64_t version,
                            const config::manifest& manifest) {
  if (version <= manifest_version_) {
    return;
  }
  manifest_version_ = version;
  manifest_ = manifest;
  manifest_pending_ = true;
  declared_.clear();
  for (const auto& job : manifest_.jobs) {
    declared_.insert(job.name);
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
      Watch(now);
      return;
    case role::kHolding:
      recovery_.reset();
      Hold(now);
      return;
    case role::kRecovering:
    case role::kTakingOver:
    case role::kReleased:
      return;
  }
}

millis scheduler::TakeoverDelay() {
  const bool vacant = seen_.version == 0 || seen_.head.released;
  const auto jitter = static_cast<uint64_t>(options_.takeover_jitter.count());
  return (vacant ? millis(0) : options_.scheduler_lease) +
         millis(random_() % (jitter + 1));
}

void scheduler::Watch(boot_time now) {
  if (reading_ || now < next_read_) {
    return;
  }
  reading_ = true;
  next_read_ = now + options_.head_poll_interval;
  ReadHeadRow(table_, [self = std::weak_ptr(self_),
                       term = term_](const result<head_row>& found) {
    if (const auto at = self.lock()) {
      (*at)->reading_ = false;
      if ((*at)->term_ == term) {
        (*at)->OnHead(found);
      }
    }
  });
}

void scheduler::OnHead(const result<head_row>& found) {
  if (!found) {
    return;
  }
  const boot_time now = clock_();
  // Silence counts only while the store could be read all the time: after an
  // outage or a pause the holder must get a chance to append first.
  const bool gap = now > last_read_ + 2 * options_.head_poll_interval;
  if (!std::exchange(ever_read_, true) || gap || *found != seen_) {
    seen_ = *found;
    seen_at_ = now;
    takeover_delay_ = TakeoverDelay();
  }
  last_read_ = now;
  const boot_time due = seen_at_ + takeover_delay_;
  if (now >= due && !releasing_) {
    Recover();
    return;
  }
  next_read_ = std::min(now + options_.head_poll_interval, due);
}

void scheduler::Recover() {
  role_ = role::kRecovering;
  ++term_;
  recovery_ = std::make_unique<recovery>(
      table_, objects_, seen_, [this](result<state::snapshot> found) {
        if (!found) {
          BecomeWatcher(found.last_reason().detail);
          return;
        }
        committed_ = std::move(found->state);
        if (planner_.load_hints) {
          planner_.load_hints(found->hints);
        }
        role_ = role::kTakingOver;
        journal_->TakeOver(
            seen_, [this](append_status status) { OnTakenOver(status); });
      });
  recovery_->Start();
}

void scheduler::OnTakenOver(append_status status) {
  if (status != append_status::kCommitted) {
    BecomeWatcher("the takeover was not committed");
    return;
  }
  const boot_time now = clock_();
  role_ = role::kHolding;
  ++term_;
  ++counters_.takeovers;
  next_ = committed_;
  holding_since_ = now;
  next_decision_ = now;
  next_housekeeping_ = now;
  drain_version_ = journal_->head_version();
  manifest_pending_ = manifest_version_ != 0;
  snapshot_done_ = journal_->head().snapshot;
  snapshot_tried_ = snapshot_done_;
  changed_at_ = journal_->head().sequence;
  snapshot_at_ = now;
  snapshot_open_ = false;
  Log("role=scheduler epoch=" + std::to_string(journal_->head().epoch));
}

void scheduler::BecomeWatcher(const std::string& why) {
  if (holds_role()) {
    ++counters_.losses;
  }
  role_ = releasing_ ? role::kReleased : role::kWatching;
  ++term_;
  committed_ = {};
  next_ = {};
  AbandonBatch();
  views_->Clear();
  start_ticks_.clear();
  stop_reasons_.clear();
  throttles_.clear();
  why_pending_.clear();
  ended_since_.clear();
  control_ = std::make_unique<control_rows>(table_, options_.command_poll,
                                            options_.data_centre_poll);
  ever_read_ = false;
  next_read_ = clock_() + options_.head_poll_interval;
  Log("role=watcher reason=\"" + why + "\"");
  if (releasing_) {
    FinishRelease();
  }
}

void scheduler::Release(std::function<void()> released) {
  releasing_ = true;
  released_ = std::move(released);
  if (role_ == role::kWatching || role_ == role::kRecovering) {
    recovery_.reset();
    role_ = role::kReleased;
    ++term_;
  }
  if (role_ == role::kReleased) {
    FinishRelease();
  }
}

void scheduler::FinishRelease() {
  if (const auto released = std::exchange(released_, nullptr)) {
    released();
  }
}

bool scheduler::DataCentreOut(const std::string& name) const {
  return control_->Out(name);
}

}  // namespace chiveglade::authority
