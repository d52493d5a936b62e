#include "src/sched/vm_index.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace chiveglade::sched {
namespace {

// Each plan reads one of this many groups of VMs again: at 10 plans per second,
// each VM about every 6 s.
constexpr size_t kRereadGroups = 64;

resources Largest(const resources& a, const resources& b) {
  return {std::max(a.millicores, b.millicores),
          std::max(a.memory_mib, b.memory_mib),
          std::max(a.accelerators, b.accelerators)};
}

resident* FindTask(std::vector<resident>& among,
                   const state::task_id& id,
                   size_t job_hash) {
  for (auto& other : among) {
    if (other.job_hash == job_hash && other.attempt.task == id) {
      return &other;
    }
  }
  return nullptr;
}

// Returns the resident of a task that holds the VM; nothing if the state does
// not know the task.
std::optional<resident> ReadResident(const state::task_id& id,
                                     const state::vm& vm,
                                     const state::cluster_state& state,
                                     class_table& classes,
                                     const demand_model& demand) {
  const auto* job = state.FindJob(id.job);
  if (job == nullptr || id.index >= job->tasks.size()) {
    return std::nullopt;
  }
  const auto& task = job->tasks[id.index];
  resident added{.attempt = {id, task.attempt},
                 .klass = classes.Index(job->spec.klass),
                 .priority = job->spec.priority,
                 .declared = job->spec.per_task,
                 .checkpointed = task.work_done,
                 .evictions = task.evictions,
                 .stopping = task.phase == state::task_phase::kStopping};
  added.expected =
      demand.ExpectedDemand(added.klass, added.declared, vm.capacity);
  added.loss_share = demand.ExpectedLossShare(added.klass);
  return added;
}

}  // namespace

void vm_index::Sync(const state::cluster_state& state,
                    const cluster_view& view,
                    class_table& classes,
                    const demand_model& demand) {
  SyncSlots(state);
  reread_group_ = (reread_group_ + 1) % kRereadGroups;
  size_t position = 0;
  for (const auto& [name, vm] : state.vms()) {
    auto& slot = slots_[position];
    slot.dirty = slot.dirty || position % kRereadGroups == reread_group_;
    SyncSlot(slot, vm, state, classes, demand, view.now);
    ++position;
  }
  SyncDataCentres(view);
  largest_ = {};
  for (auto& slot : slots_) {
    const auto& name = slot.name;
    slot.drained = state.drained().contains(name);
    const auto& data_centre = data_centres_[slot.data_centre];
    const bool in_service =
        !slot.drained &&
        data_centre.phase != data_centre_phase::kOutOfService &&
        !view.silent.contains(name);
    const bool quarantined = state.quarantined().contains(name);
    const bool had_hold = slot.held != resources{};
    slot.probeable = in_service && quarantined;
    slot.startable = in_service && !quarantined;
    slot.held = {};
    slot.reserved = false;
    data_centres_[slot.data_centre].capacity += slot.capacity;
    data_centres_[slot.data_centre].committed += slot.committed;
    largest_ = Largest(largest_, slot.capacity);
    if (slot.room_stale || had_hold) {
      slot.room_stale = false;
      Refresh(slot);
    }
    rooms_[Position(slot)].startable = slot.startable;
  }
}

void vm_index::SyncSlots(const state::cluster_state& state) {
  bool same = slots_.size() == state.vms().size();
  auto slot = slots_.begin();
  for (auto it = state.vms().begin(); same && it != state.vms().end();
       ++it, ++slot) {
    same = slot->name == it->first;
  }
  if (same) {
    return;
  }
  std::vector<vm_slot> fresh;
  fresh.reserve(state.vms().size());
  for (const auto& [name, vm] : state.vms()) {
    if (const auto it = by_name_.find(name); it != by_name_.end()) {
      fresh.push_back(std::move(slots_[it->second]));
    } else {
      fresh.push_back({.name = name});
    }
  }
  slots_ = std::move(fresh);
  rooms_.assign(slots_.size(), {});
  for (auto& slot : slots_) {
    slot.room_stale = true;
  }
  by_name_.clear();
  for (size_t i = 0; i < slots_.size(); ++i) {
    by_name_.emplace(slots_[i].name, i);
  }
  ++generation_;
}

void vm_index::SyncDataCentres(const cluster_view& view) {
  for (auto& data_centre : data_centres_) {
    data_centre.capacity = {};
    data_centre.committed = {};
    data_centre.ramp = 1;
    data_centre.phase = data_centre_phase::kInService;
    const auto phase = view.data_centres.find(data_centre.name);
    if (phase == view.data_centres.end()) {
      continue;
    }
    data_centre.phase = phase->second;
    const auto since = view.returned_at.find(data_centre.name);
    if (phase->second != data_centre_phase::kReturning) {
      continue;
    }
    const double elapsed_share =
        since == view.returned_at.end()
            ? 0
            : static_cast<double>((view.now - since->second).count()) /
                  static_cast<double>(options_.return_ramp.count());
    data_centre.ramp = std::clamp(
        options_.return_initial_share +
            (1 - options_.return_initial_share) * std::max(0.0, elapsed_share),
        0.0, 1.0);
  }
}

void vm_index::SyncSlot(vm_slot& slot,
                        const state::vm& vm,
                        const state::cluster_state& state,
                        class_table& classes,
                        const demand_model& demand,
                        boot_time now) {
  const bool changed =
      slot.incarnation != vm.id.incarnation || slot.capacity != vm.capacity;
  if (!changed && !slot.dirty && slot.committed == vm.committed &&
      slot.residents.size() == vm.tasks.size()) {
    return;
  }
  if (changed) {
    ++generation_;
  }
  slot.incarnation = vm.id.incarnation;
  slot.data_centre = FindOrAddDataCentre(vm.data_centre);
  slot.rack = rack_numbers_
                  .emplace(vm.data_centre + "/" + vm.rack, rack_numbers_.size())
                  .first->second;
  slot.capacity = vm.capacity;
  slot.committed = vm.committed;
  slot.expected = {};
  const bool reread_all = changed || slot.dirty;
  slot.dirty = false;
  slot.room_stale = true;
  std::vector<resident> old_residents = std::move(slot.residents);
  slot.residents.clear();
  slot.residents.reserve(vm.tasks.size());
  for (const auto& id : vm.tasks) {
    const size_t hash = std::hash<std::string>{}(id.job);
    auto* known = FindTask(old_residents, id, hash);
    if (known != nullptr && !reread_all) {
      slot.residents.push_back(std::move(*known));
    } else if (auto added = ReadResident(id, vm, state, classes, demand)) {
      added->job_hash = hash;
      added->first_seen = now;
      if (known != nullptr && known->attempt == added->attempt) {
        added->work_done = known->work_done;
        added->first_seen = known->first_seen;
      }
      slot.residents.push_back(std::move(*added));
    } else {
      continue;
    }
    slot.expected += slot.residents.back().expected;
  }
}

uint16_t vm_index::FindOrAddDataCentre(const std::string& name) {
  const auto [it, added] = data_centre_numbers_.emplace(
      name, static_cast<uint16_t>(data_centres_.size()));
  if (added) {
    data_centres_.push_back({.name = name});
  }
  return it->second;
}

vm_slot* vm_index::Find(const std::string& name) {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : &slots_[it->second];
}

const vm_slot* vm_index::Find(const std::string& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : &slots_[it->second];
}

int vm_index::DataCentre(const std::string& name) const {
  const auto it = data_centre_numbers_.find(name);
  return it == data_centre_numbers_.end() ? -1 : it->second;
}

void vm_index::Grant(vm_slot& slot, resident added) {
  slot.committed += added.declared;
  slot.expected += added.expected;
  data_centres_[slot.data_centre].committed += added.declared;
  slot.residents.push_back(std::move(added));
  Refresh(slot);
}

void vm_index::Hold(vm_slot& slot, const resources& amount) {
  slot.held += amount;
  Refresh(slot);
}

void vm_index::Refresh(const vm_slot& slot) {
  auto& room = rooms_[Position(slot)];
  room.free =
      slot.capacity - slot.held - Largest(slot.committed, slot.expected);
  room.data_centre = slot.data_centre;
  room.startable = slot.startable;
  const resources unused = slot.capacity - slot.held - slot.committed;
  for (auto& most : room.reclaimable) {
    most = unused;
  }
  for (const auto& other : slot.residents) {
    const auto band = static_cast<size_t>(other.priority);
    for (size_t taker = 0; taker < 3; ++taker) {
      if (other.stopping || band > taker) {
        room.reclaimable[taker] += other.declared;
      }
    }
  }
}

bool vm_index::RampAllows(uint16_t data_centre, const resources& amount) const {
  const auto& returning = data_centres_[data_centre];
  if (returning.ramp >= 1) {
    return true;
  }
  const auto ramped = [&](int64_t whole) {
    return static_cast<int64_t>(static_cast<double>(whole) * returning.ramp);
  };
  return FitsWithin(returning.committed + amount,
                    {ramped(returning.capacity.millicores),
                     ramped(returning.capacity.memory_mib),
                     ramped(returning.capacity.accelerators)});
}

}  // namespace chiveglade::sched
