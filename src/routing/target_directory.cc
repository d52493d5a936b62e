#include "chiveglade/routing/target_directory.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

namespace {

// A request goes to another data centre only if the local utilisation is above
// this multiple of the remote utilisation...
constexpr double kRemoteLoadRatio = 1.5;
// ...and above this share of the slots: while local slots are free, the longer
// network path has no benefit.
constexpr double kMinLocalUtilisationForRemote = 0.5;

// Random picks before the whole list is scanned. With a third of the targets
// ineligible, eight picks find none in one case of 6,500.
constexpr int kMaxRandomPicks = 8;

// Returns whether a target may be chosen at `now`.
struct target_filter {
  boot_time now;
  int64_t seen_after_ms;
  const std::vector<std::string>& exclude;

  bool operator()(const target& at, bool ignore_ejection) const {
    const auto& vm = at.vm();
    return vm.last_seen_ms.load(std::memory_order_relaxed) > seen_after_ms &&
           !vm.leaving.load(std::memory_order_relaxed) &&
           !vm.out_of_service.load(std::memory_order_relaxed) &&
           (ignore_ejection || !at.IsEjected(now)) &&
           std::find(exclude.begin(), exclude.end(), vm.name) == exclude.end();
  }
};

// Returns the target with the lower utilisation, weighted by latency if the
// latency of both is known.
const target_ptr& LessLoaded(const target_ptr& a, const target_ptr& b) {
  double a_score = a->utilisation() + 0.1;
  double b_score = b->utilisation() + 0.1;
  if (const auto la = a->latency_us(), lb = b->latency_us(); la && lb) {
    a_score *= la;
    b_score *= lb;
  }
  return a_score <= b_score ? a : b;
}

template <typename Accept>
target_ptr PickBetterOfTwo(const std::vector<target_ptr>& from,
                           const Accept& accept,
                           const random_fn& random) {
  if (from.empty()) {
    return nullptr;
  }
  target_ptr first;
  for (int i = 0; i < kMaxRandomPicks; ++i) {
    const auto& picked = from[random() % from.size()];
    if (picked == first || !accept(*picked)) {
      continue;
    }
    if (first) {
      return LessLoaded(first, picked);
    }
    first = picked;
  }
  if (first && from.size() > kMaxRandomPicks) {
    return first;
  }
  const size_t offset = random() % from.size();
  for (size_t i = 0; i < from.size(); ++i) {
    const auto& next = from[(offset + i) % from.size()];
    if (next == first || !accept(*next)) {
      continue;
    }
    if (first) {
      return LessLoaded(first, next);
    }
    first = next;
  }
  return first;
}

bool SameTargets(const std::vector<target_ptr>& have,
                 const std::vector<state::target_load>& reported) {
  return std::equal(have.begin(), have.end(), reported.begin(), reported.end(),
                    [](const target_ptr& a, const state::target_load& b) {
                      return a->service() == b.service;
                    });
}

}  // namespace

result<std::shared_ptr<target_directory>> target_directory::Make(
    directory_options options,
    clock_fn clock) {
  if (options.heartbeat_interval <= millis(0) ||
      options.missed_heartbeats == 0 || options.failures_to_eject == 0 ||
      options.initial_ejection <= millis(0)) {
    return reason{"bad_options", "periods and limits must be above zero"};
  }
  return std::shared_ptr<target_directory>(
      new target_directory(std::move(options), std::move(clock)));
}

target_directory::target_directory(directory_options options, clock_fn clock)
    : options_(std::move(options)), clock_(std::move(clock)) {}

void target_directory::OnHeartbeat(const state::heartbeat& in) {
  vm_map::accessor at;
  const bool added = vms_.insert(at, in.vm.name);
  vm_entry& entry = at->second;
  const bool same_vm = !added && entry.incarnation == in.vm.incarnation;
  // A tick is a time of a clock that is not reset when the agent restarts, so
  // it orders heartbeats across restarts.
  if (same_vm && in.tick < entry.tick) {
    return;
  }
  if (!added && !same_vm && in.vm.incarnation == entry.previous_incarnation) {
    return;
  }
  if (!same_vm) {
    entry.previous_incarnation = entry.incarnation;
    entry.incarnation = in.vm.incarnation;
  }
  entry.tick = in.tick;
  if (!same_vm || entry.record->address != in.address ||
      entry.record->data_centre != in.data_centre) {
    ReplaceRecord(in, entry);
  }
  if (!SameTargets(entry.targets, in.targets)) {
    ReplaceTargets(in, entry);
  }
  for (size_t i = 0; i < entry.targets.size(); ++i) {
    entry.targets[i]->SetLoad(in.targets[i]);
  }
  entry.record->leaving = in.leaving;
  entry.record->last_seen_ms = clock_().time_since_epoch().count();
}

void target_directory::ReplaceRecord(const state::heartbeat& in,
                                     vm_entry& entry) {
  RemoveTargets(entry);
  auto record = std::make_shared<vm_record>();
  record->name = in.vm.name;
  record->data_centre = in.data_centre;
  record->address = in.address;
  record->leaving = in.leaving;
  record->last_seen_ms = clock_().time_since_epoch().count();
  const std::lock_guard lock(vm_records_mutex_);
  record->out_of_service =
      out_of_service_.vms.count(record->name) != 0 ||
      out_of_service_.data_centres.count(record->data_centre) != 0;
  vm_records_[record->name] = record;
  entry.record = std::move(record);
}

void target_directory::ReplaceTargets(const state::heartbeat& in,
                                      vm_entry& entry) {
  const ejection_policy policy{options_.failures_to_eject,
                               options_.initial_ejection,
                               options_.max_ejection};
  std::vector<target_ptr> before;
  before.swap(entry.targets);
  for (const auto& load : in.targets) {
    const auto kept = std::find_if(
        before.begin(), before.end(),
        [&](const auto& each) { return each->service() == load.service; });
    if (kept != before.end()) {
      entry.targets.push_back(*kept);
      before.erase(kept);
      continue;
    }
    entry.targets.push_back(std::make_shared<target>(
        load.service, entry.record, GetOrCreateHealth(load.service), policy));
    entry.targets.back()->SetLoad(load);
    AddToService(entry.targets.back());
  }
  for (const auto& gone : before) {
    RemoveFromService(gone);
  }
}

void target_directory::RemoveTargets(vm_entry& entry) {
  for (const auto& each : entry.targets) {
    RemoveFromService(each);
  }
  entry.targets.clear();
}

bool target_directory::IsLocal(const target& at) const {
  return at.vm().data_centre == options_.data_centre;
}

std::shared_ptr<service_health> target_directory::GetOrCreateHealth(
    const std::string& service) {
  service_map::accessor at;
  if (services_.insert(at, service)) {
    auto list = std::make_shared<service_list>();
    list->health = std::make_shared<service_health>();
    at->second = std::move(list);
  }
  return at->second->health;
}

void target_directory::AddToService(const target_ptr& added) {
  service_map::accessor at;
  // GetOrCreateHealth has created the list, and lists are never erased.
  services_.find(at, added->service());
  auto next = std::make_shared<service_list>(*at->second);
  (IsLocal(*added) ? next->local : next->remote).push_back(added);
  at->second = std::move(next);
}

void target_directory::RemoveFromService(const target_ptr& removed) {
  service_map::accessor at;
  if (!services_.find(at, removed->service())) {
    return;
  }
  auto next = std::make_shared<service_list>(*at->second);
  std::erase(IsLocal(*removed) ? next->local : next->remote, removed);
  at->second = std::move(next);
}

void target_directory::SetOutOfService(std::set<std::string> data_centres,
                                       std::set<std::string> vms) {
  const std::lock_guard lock(vm_records_mutex_);
  out_of_service_ = {std::move(data_centres), std::move(vms)};
  for (const auto& [name, record] : vm_records_) {
    record->out_of_service =
        out_of_service_.vms.count(name) != 0 ||
        out_of_service_.data_centres.count(record->data_centre) != 0;
  }
}

millis target_directory::silence_timeout() const {
  return options_.heartbeat_interval * options_.missed_heartbeats;
}

void target_directory::Expire() {
  const int64_t limit =
      (clock_() - silence_timeout()).time_since_epoch().count();
  std::vector<std::string> silent;
  {
    const std::lock_guard lock(vm_records_mutex_);
    for (const auto& [name, record] : vm_records_) {
      if (record->last_seen_ms <= limit) {
        silent.push_back(name);
      }
    }
  }
  for (const auto& name : silent) {
    vm_map::accessor at;
    // A heartbeat may have arrived since the check above.
    if (!vms_.find(at, name) || at->second.record->last_seen_ms > limit) {
      continue;
    }
    RemoveTargets(at->second);
    {
      const std::lock_guard lock(vm_records_mutex_);
      vm_records_.erase(name);
    }
    vms_.erase(at);
  }
}

target_directory::service_list_ptr target_directory::FindService(
    const std::string& service) const {
  service_map::const_accessor at;
  return services_.find(at, service) ? at->second : nullptr;
}

result<open_request> target_directory::Choose(
    const std::string& service,
    const std::vector<std::string>& exclude,
    const random_fn& random) const {
  const reason none{"no_target", "no target of " + service + " is in service"};
  const auto list = FindService(service);
  if (!list) {
    return none;
  }
  const boot_time now = clock_();
  const target_filter eligible{
      now, (now - silence_timeout()).time_since_epoch().count(), exclude};
  const size_t all = list->local.size() + list->remote.size();
  const auto unhealthy_targets = static_cast<size_t>(std::max(
      list->health->unhealthy_targets.load(std::memory_order_relaxed), 0));
  const bool ignore_ejection = unhealthy_targets * 3 > all;
  const auto accept = [&](const target& at) {
    return eligible(at, ignore_ejection);
  };
  const auto local = PickBetterOfTwo(list->local, accept, random);
  if (local && local->utilisation() <= kMinLocalUtilisationForRemote) {
    return open_request(local);
  }
  const auto remote = PickBetterOfTwo(list->remote, accept, random);
  if (!local && !remote) {
    return none;
  }
  if (!local || (remote && local->utilisation() >
                               kRemoteLoadRatio * remote->utilisation())) {
    return open_request(remote);
  }
  return open_request(local);
}

std::vector<target_status> target_directory::Status(
    const std::string& service) const {
  std::vector<target_status> out;
  const auto list = FindService(service);
  if (!list) {
    return out;
  }
  const boot_time now = clock_();
  const std::vector<std::string> exclude;
  const target_filter eligible{
      now, (now - silence_timeout()).time_since_epoch().count(), exclude};
  for (const auto* part : {&list->local, &list->remote}) {
    for (const auto& each : *part) {
      const auto& vm = each->vm();
      out.push_back({vm.name, vm.data_centre, vm.address,
                     each->load() - each->own_open_requests(),
                     each->own_open_requests(), eligible(*each, true),
                     each->IsEjected(now)});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.vm < b.vm; });
  return out;
}

std::set<std::string> target_directory::Addresses() const {
  const std::lock_guard lock(vm_records_mutex_);
  std::set<std::string> out;
  for (const auto& [name, record] : vm_records_) {
    out.insert(record->address);
  }
  return out;
}

}  // namespace chiveglade::routing
