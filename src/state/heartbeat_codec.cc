#include "chiveglade/state/heartbeat_codec.h"

#include "cbor.h"

namespace chiveglade::state {

namespace {

cbor_array Write(const attempt_id& in) {
  return Row(in.task.job, in.task.index, in.number);
}

cbor_array Write(const target_load& in) {
  return Row(in.service, in.slots, in.in_use, in.queued, in.latency_us);
}

target_load ReadTarget(cbor_reader& in) {
  target_load out;
  out.service = in.Text();
  out.slots = in.Int<uint32_t>();
  out.in_use = in.Int<uint32_t>();
  out.queued = in.Int<uint32_t>();
  out.latency_us = in.Int<uint32_t>();
  return out;
}

cbor_array Write(const attempt_report& in) {
  cbor_array out = Write(in.attempt);
  Append(out, ToCbor(in.used), in.work_done.count(), in.slowdown_pct);
  return out;
}

attempt_report ReadReport(cbor_reader& in) {
  attempt_report out;
  out.attempt = in.Attempt();
  out.used = in.Resources();
  out.work_done = in.Millis();
  out.slowdown_pct = in.Int<uint32_t>();
  return out;
}

cbor_array Write(const end_report& in) {
  cbor_array out = Write(in.end.attempt);
  Append(out, static_cast<uint8_t>(in.end.how), in.end.checkpoint,
         in.end.work_done.count(), in.end.detail);
  return out;
}

end_report ReadEnd(cbor_reader& in) {
  end_report out;
  out.end.attempt = in.Attempt();
  out.end.how = in.Enum(attempt_end::kLost);
  out.end.checkpoint = in.Text();
  out.end.work_done = in.Millis();
  out.end.detail = in.Text();
  return out;
}

cbor_array Write(const start_order& in) {
  cbor_array out = Write(in.attempt);
  Append(out, ToCbor(in.spec), in.checkpoint, in.work_done.count(), in.tick);
  return out;
}

start_order ReadStart(cbor_reader& in) {
  start_order out;
  out.attempt = in.Attempt();
  out.spec = in.Spec();
  out.checkpoint = in.Text();
  out.work_done = in.Millis();
  out.tick = in.Int<int64_t>();
  return out;
}

cbor_array Write(const stop_order& in) {
  cbor_array out = Write(in.attempt);
  Append(out, in.why, in.grace.count());
  return out;
}

stop_order ReadStop(cbor_reader& in) {
  stop_order out;
  out.attempt = in.Attempt();
  out.why = in.Text();
  out.grace = in.Millis();
  return out;
}

cbor_array Write(const throttle_order& in) {
  cbor_array out = Write(in.attempt);
  Append(out, in.percent);
  return out;
}

throttle_order ReadThrottle(cbor_reader& in) {
  throttle_order out;
  out.attempt = in.Attempt();
  out.percent = in.Int<uint32_t>();
  return out;
}

cbor_array Write(const entry_address& in) {
  return Row(in.name, in.data_centre, in.address);
}

entry_address ReadEntry(cbor_reader& in) {
  entry_address out;
  out.name = in.Text();
  out.data_centre = in.Text();
  out.address = in.Text();
  return out;
}

attempt_id ReadAttempt(cbor_reader& in) {
  return in.Attempt();
}

template <typename T>
cbor_array WriteList(const std::vector<T>& in) {
  return ToCborList(in, [](const T& item) { return Write(item); });
}

// Reads the leading protocol version of a message.
result<uint32_t> ReadVersion(cbor_view document) {
  cbor_reader in(document);
  const auto version = in.Int<uint32_t>();
  if (in.ok() && version != kProtocolVersion) {
    return reason{"protocol_version", "the message has protocol version " +
                                          std::to_string(version) +
                                          "; this program speaks " +
                                          std::to_string(kProtocolVersion)};
  }
  return version;
}

// Parses a message and checks its size and protocol version.
result<cbor_view> Open(std::string_view bytes, const std::string& what) {
  if (bytes.size() > kMaxHeartbeatBytes) {
    return reason{"corrupt", what + " is above 4 MiB"};
  }
  auto document = ParseCborArray(bytes, what);
  if (!document) {
    return document;
  }
  if (auto version = ReadVersion(*document); !version) {
    return version.last_reason();
  }
  return document;
}

reason UnknownLayout() {
  return {"corrupt", "the message has an unknown layout"};
}

}  // namespace

std::string EncodeHeartbeat(const heartbeat& message) {
  return WriteCbor(Row(message.protocol, message.vm.name,
                       message.vm.incarnation, message.data_centre,
                       message.rack, message.address, ToCbor(message.capacity),
                       message.sequence, message.tick, message.manifest_version,
                       message.leaving, message.partial, message.answered_epoch,
                       message.answered_tick, WriteList(message.targets),
                       WriteList(message.attempts), WriteList(message.ends)));
}

result<heartbeat> DecodeHeartbeat(std::string_view bytes) {
  const auto document = Open(bytes, "the heartbeat");
  if (!document) {
    return document.last_reason();
  }
  cbor_reader in(*document);
  heartbeat out;
  out.protocol = in.Int<uint32_t>();
  out.vm = in.Vm();
  out.data_centre = in.Text();
  out.rack = in.Text();
  out.address = in.Text();
  out.capacity = in.Resources();
  out.sequence = in.Int<uint64_t>();
  out.tick = in.Int<int64_t>();
  out.manifest_version = in.Int<uint64_t>();
  out.leaving = in.Bool();
  out.partial = in.Bool();
  out.answered_epoch = in.Int<uint64_t>();
  out.answered_tick = in.Int<int64_t>();
  out.targets = in.List<target_load>(ReadTarget);
  out.attempts = in.List<attempt_report>(ReadReport);
  out.ends = in.List<end_report>(ReadEnd);
  if (!in.Finished()) {
    return UnknownLayout();
  }
  return out;
}

std::string EncodeAnswer(const heartbeat_answer& message) {
  return WriteCbor(
      Row(message.protocol, message.epoch, message.scheduler,
          WriteList(message.entries), message.manifest_version,
          message.out_of_service, message.out_version, message.grants,
          message.append_age.count(), WriteList(message.starts),
          WriteList(message.stops), WriteList(message.throttles),
          WriteList(message.acknowledged), WriteList(message.unknown)));
}

result<heartbeat_answer> DecodeAnswer(std::string_view bytes) {
  const auto document = Open(bytes, "the heartbeat's answer");
  if (!document) {
    return document.last_reason();
  }
  cbor_reader in(*document);
  heartbeat_answer out;
  out.protocol = in.Int<uint32_t>();
  out.epoch = in.Int<uint64_t>();
  out.scheduler = in.Text();
  out.entries = in.List<entry_address>(ReadEntry);
  out.manifest_version = in.Int<uint64_t>();
  out.out_of_service = in.Bool();
  out.out_version = in.Int<uint64_t>();
  out.grants = in.Bool();
  out.append_age = in.Millis();
  out.starts = in.List<start_order>(ReadStart);
  out.stops = in.List<stop_order>(ReadStop);
  out.throttles = in.List<throttle_order>(ReadThrottle);
  out.acknowledged = in.List<attempt_id>(ReadAttempt);
  out.unknown = in.List<attempt_id>(ReadAttempt);
  if (!in.Finished()) {
    return UnknownLayout();
  }
  return out;
}

}  // namespace chiveglade::state
