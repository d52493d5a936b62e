#include "chiveglade/state/snapshot_codec.h"

#include "cbor.h"
#include "check.h"

namespace chiveglade::state {

namespace {

// A task that was never touched takes an empty row; most queued ones are so.
cbor_array Write(const task& in) {
  if (in == task{}) {
    return {};
  }
  return Row(static_cast<uint8_t>(in.phase), in.attempt, in.vm.name,
             in.vm.incarnation, in.failures, in.evictions, in.checkpoint,
             in.work_done.count(), in.cancel_requested);
}

task ReadTask(cbor_reader& in) {
  if (in.Finished()) {
    return {};
  }
  task out;
  out.phase = in.Enum(task_phase::kFailed);
  out.attempt = in.Int<uint32_t>();
  out.vm = in.Vm();
  out.failures = in.Int<uint32_t>();
  out.evictions = in.Int<uint32_t>();
  out.checkpoint = in.Text();
  out.work_done = in.Millis();
  out.cancel_requested = in.Bool();
  return out;
}

cbor_array Write(const job& in) {
  return Row(ToCbor(in.spec), in.cancelled, in.parked_reason,
             ToCborList(in.tasks, [](const task& at) { return Write(at); }));
}

job ReadJob(cbor_reader& in) {
  job out;
  out.spec = in.Spec();
  out.cancelled = in.Bool();
  out.parked_reason = in.Text();
  out.tasks = in.List<task>(ReadTask);
  return out;
}

cbor_array Write(const vm& in) {
  return Row(in.id.name, in.id.incarnation, in.data_centre, in.rack,
             ToCbor(in.capacity));
}

vm ReadVm(cbor_reader& in) {
  vm out;
  out.id = in.Vm();
  out.data_centre = in.Text();
  out.rack = in.Text();
  out.capacity = in.Resources();
  return out;
}

template <typename M>
cbor_array WriteValues(const M& in) {
  cbor_array out;
  for (const auto& [name, value] : in) {
    out.push_back(Write(value));
  }
  return out;
}

template <typename C>
cbor_array WriteTexts(const C& in) {
  return ToCbor(std::vector<std::string>(in.begin(), in.end()));
}

command_done ReadCommand(cbor_reader& in) {
  command_done out;
  out.command = in.Text();
  out.accepted = in.Bool();
  out.detail = in.Text();
  return out;
}

}  // namespace

// Rebuilds a state from its stored parts and checks it.
class snapshot_builder {
 public:
  explicit snapshot_builder(cluster_state& into) : into_(into) {}

  void ReadAll(cbor_reader& in) {
    for (auto& one : in.List<job>(ReadJob)) {
      const std::string name = one.spec.name;
      valid_ &= CheckSpec(one.spec).has_value();
      valid_ &= into_.jobs_.emplace(name, std::move(one)).second;
    }
    for (auto& one : in.List<vm>(ReadVm)) {
      const std::string name = one.id.name;
      valid_ &= IsAmount(one.capacity);
      valid_ &= into_.vms_.emplace(name, std::move(one)).second;
    }
    for (auto& name : in.Texts()) {
      into_.drained_.insert(std::move(name));
    }
    in.List<done>([this](cbor_reader& row) {
      const std::string name = row.Text();
      into_.quarantined_[name] = row.Int<uint32_t>();
      return done{};
    });
    for (auto& one : in.List<command_done>(ReadCommand)) {
      into_.command_order_.push_back(one.command);
      const std::string name = one.command;
      valid_ &= into_.commands_.emplace(name, std::move(one)).second;
    }
    for (auto& name : in.Texts()) {
      into_.retired_order_.push_back(name);
      valid_ &= into_.retired_.insert(std::move(name)).second;
    }
    in.List<done>([this](cbor_reader& row) {
      into_.past_vms_order_.push_back(row.Vm());
      into_.past_vms_.insert(into_.past_vms_order_.back());
      return done{};
    });
  }

  // Computes sums and indices; false if an invariant does not hold.
  bool Rebuild() {
    for (const auto& [name, owner] : into_.jobs_) {
      for (uint32_t index = 0; valid_ && index < owner.tasks.size(); ++index) {
        Place({name, index}, owner);
      }
      into_.IndexJob(name, owner);
    }
    return valid_;
  }

 private:
  void Place(const task_id& id, const job& owner) {
    const task& at = owner.tasks[id.index];
    if (!HoldsVm(at.phase)) {
      valid_ &= at.vm == vm_id{};
      return;
    }
    const auto host = into_.vms_.find(at.vm.name);
    if (host == into_.vms_.end() || host->second.id != at.vm ||
        !FitsWithin(owner.spec.per_task,
                    host->second.capacity - host->second.committed)) {
      valid_ = false;
      return;
    }
    into_.Hold({id, at.attempt}, owner, host->second);
  }

  cluster_state& into_;
  bool valid_ = true;
};

std::string snapshot_codec::Encode(uint64_t sequence,
                                   const cluster_state& from,
                                   const std::string& hints) {
  cbor_array quarantined;
  for (const auto& [name, probes] : from.quarantined_) {
    quarantined.push_back(Row(name, probes));
  }
  cbor_array commands;
  for (const auto& name : from.command_order_) {
    const auto& one = from.commands_.at(name);
    commands.push_back(Row(one.command, one.accepted, one.detail));
  }
  cbor_array past;
  for (const auto& id : from.past_vms_order_) {
    past.push_back(Row(id.name, id.incarnation));
  }
  return WriteCbor(Row(kSnapshotFormat, sequence, WriteValues(from.jobs_),
                       WriteValues(from.vms_), WriteTexts(from.drained_),
                       quarantined, commands, WriteTexts(from.retired_order_),
                       past, hints));
}

result<snapshot> snapshot_codec::Decode(std::string_view bytes) {
  const auto document = ParseCborArray(bytes, "the snapshot");
  if (!document) {
    return document.last_reason();
  }
  cbor_reader in(*document);
  const auto format = in.Int<uint32_t>();
  if (in.ok() && format > kSnapshotFormat) {
    return reason{"newer_format", "the snapshot has format " +
                                      std::to_string(format) +
                                      "; this program reads formats up to " +
                                      std::to_string(kSnapshotFormat)};
  }
  snapshot out;
  out.sequence = in.Int<uint64_t>();
  snapshot_builder builder(out.state);
  builder.ReadAll(in);
  out.hints = in.Text();
  if (!in.Finished() || format == 0) {
    return reason{"corrupt", "the snapshot has an unknown layout"};
  }
  if (!builder.Rebuild()) {
    return reason{"corrupt", "the snapshot's state breaks an invariant"};
  }
  return out;
}

}  // namespace chiveglade::state
