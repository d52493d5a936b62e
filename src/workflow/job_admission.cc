#include "chiveglade/workflow/job_admission.h"

#include <algorithm>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

namespace {

// Upper bounds of what a coordinator allocates, beside texts and lists.
constexpr uint64_t kJobBytes = 2'048;
constexpr uint64_t kStepBytes = 1'024;
constexpr uint64_t kStepOfOccurrenceBytes = 64;
constexpr uint64_t kTaskBytes = 96;

// Assumed until a coordinator has been heard.
constexpr uint32_t kAssumedGateways = 8;
// Jobs are admitted up to half of what is left to their queue, since they also
// take it from what is free.
constexpr uint64_t kQueueShare = 2;
// A job may take half of the rest, so that smaller ones still fit after it.
constexpr uint64_t kJobShare = 2;
// Age at which the room of a queue is asked for again. Callers wait for the
// answer, so not with each job.
constexpr millis kRoomAge{500};

// A VM of another size may have joined since an older answer. Longer than a
// new coordinator takes to hear all VMs.
constexpr millis kVmsValid{30'000};

uint64_t Left(uint64_t of, uint64_t used) {
  return of > used ? of - used : 0;
}

}  // namespace

uint64_t JobBytes(const job_spec& job) {
  const uint64_t occurrences = std::max(1U, job.repeat.occurrences);
  uint64_t out = kJobBytes + job.payload.size();
  for (const auto& step : job.steps) {
    out += kStepBytes + step.required_label.size() +
           step.preferred_rack.size() + step.image.size() +
           step.after.size() * sizeof(step.after[0]);
    out += occurrences *
           (kStepOfOccurrenceBytes + uint64_t{step.count} * kTaskBytes);
  }
  return out;
}

resources LargestTask(const job_spec& job) {
  resources out;
  for (const auto& step : job.steps) {
    out.memory_mib = std::max(out.memory_mib, step.demand.memory_mib);
    out.accelerators = std::max(out.accelerators, step.demand.accelerators);
    // Best-effort tasks reserve no processors.
    out.millicores =
        std::max(out.millicores, step.best_effort ? 0 : step.demand.millicores);
  }
  return out;
}

std::string Encode(const room_question& in) {
  return state::WriteCbor(state::Row(in.gateway, in.queue));
}

result<room_question> DecodeRoomQuestion(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "the question for room");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  room_question out;
  out.gateway = in.Text();
  out.queue = in.Text();
  if (!in.Finished()) {
    return reason{"corrupt", "the question for room has the wrong fields"};
  }
  return out;
}

std::string Encode(const job_room& in) {
  auto out = state::Row(in.budget, in.held, in.held_for_queue, in.gateways,
                        in.age.count(), in.largest_vm.has_value());
  out.push_back(state::ToCbor(in.largest_vm.value_or(resources{})));
  return state::WriteCbor(out);
}

result<job_room> DecodeJobRoom(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "the room for jobs");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  job_room out;
  out.budget = in.Int<uint64_t>();
  out.held = in.Int<uint64_t>();
  out.held_for_queue = in.Int<uint64_t>();
  out.gateways = in.Int<uint32_t>();
  out.age = in.Millis();
  const bool knows_vms = in.Bool();
  const auto largest = in.Resources();
  if (knows_vms) {
    out.largest_vm = largest;
  }
  if (!in.Finished()) {
    return reason{"corrupt", "the room for jobs has the wrong fields"};
  }
  return out;
}

bool job_admission::TakeQuestion(const std::string& queue, boot_time now) {
  auto& known = rooms_[queue];
  if (known.asked_at != boot_time{} && now - known.asked_at < kRoomAge) {
    return false;
  }
  known.asked_at = now;
  return true;
}

void job_admission::SetRoom(const std::string& queue,
                            const job_room& room,
                            boot_time asked_at) {
  auto& known = rooms_[queue];
  known.room = room;
  if (room.largest_vm) {
    known.largest_vm = room.largest_vm;
    known.largest_known_at = asked_at;
  }
  while (!stored_.empty() && stored_.front().at < asked_at - room.age) {
    stored_bytes_ -= stored_.front().bytes;
    stored_.pop_front();
  }
}

std::optional<std::string> job_admission::WhyNeverRuns(
    const std::string& queue,
    const resources& largest_task,
    boot_time now) const {
  const auto known = rooms_.find(queue);
  if (known == rooms_.end() || !known->second.largest_vm ||
      now - known->second.largest_known_at > kVmsValid) {
    return std::nullopt;
  }
  const auto& most = *known->second.largest_vm;
  const auto explain = [](int64_t wanted, int64_t known_most,
                          const char* unit) {
    return "a task asks for " + std::to_string(wanted) + " " + unit +
           ", and no VM of the service has more than " +
           std::to_string(known_most);
  };
  if (largest_task.memory_mib > most.memory_mib) {
    return explain(largest_task.memory_mib, most.memory_mib, "MiB");
  }
  if (largest_task.accelerators > most.accelerators) {
    return explain(largest_task.accelerators, most.accelerators,
                   "accelerators");
  }
  if (largest_task.millicores > most.millicores) {
    return explain(largest_task.millicores, most.millicores, "millicores");
  }
  return std::nullopt;
}

bool job_admission::Admit(const std::string& queue, uint64_t bytes) {
  job_room room{initial_budget_, 0, 0, kAssumedGateways};
  if (const auto known = rooms_.find(queue);
      known != rooms_.end() && known->second.room) {
    room = *known->second.room;
  }
  const uint64_t free = Left(room.budget, room.held);
  const uint64_t left = Left(free, room.held_for_queue);
  const uint64_t share = left / kQueueShare / std::max(1U, room.gateways);
  // A job that is longer than a share of a small budget needs all of it.
  const uint64_t uncounted = writing_bytes_ + stored_bytes_;
  const bool is_idle = room.held == 0 && uncounted == 0;
  if (uncounted + kJobShare * bytes > share && !is_idle) {
    return false;
  }
  writing_bytes_ += bytes;
  return true;
}

void job_admission::Finish(uint64_t bytes, bool may_be_stored, boot_time now) {
  writing_bytes_ -= bytes;
  if (may_be_stored) {
    stored_.push_back({now, bytes});
    stored_bytes_ += bytes;
  }
}

}  // namespace chiveglade::workflow
