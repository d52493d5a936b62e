#include "chiveglade/state/event_codec.h"

#include "cbor.h"

namespace chiveglade::state {

namespace {

void Write(cbor_array& out, const job_submitted& in) {
  Append(out, ToCbor(in.spec));
}
void Write(cbor_array& out, const job_cancelled& in) {
  Append(out, in.job);
}
void Write(cbor_array& out, const job_parked& in) {
  Append(out, in.job, in.why);
}
void Write(cbor_array& out, const job_resized& in) {
  Append(out, in.job, in.tasks);
}
void Write(cbor_array& out, const job_retired& in) {
  Append(out, in.job);
}
void Write(cbor_array& out, const attempt_id& in) {
  Append(out, in.task.job, in.task.index, in.number);
}
void Write(cbor_array& out, const vm_id& in) {
  Append(out, in.name, in.incarnation);
}
void Write(cbor_array& out, const attempt_granted& in) {
  Write(out, in.attempt);
  Write(out, in.vm);
}
void Write(cbor_array& out, const attempt_running& in) {
  Write(out, in.attempt);
}
void Write(cbor_array& out, const attempt_stopping& in) {
  Write(out, in.attempt);
  Append(out, in.why);
}
void Write(cbor_array& out, const attempt_ended& in) {
  Write(out, in.attempt);
  Append(out, static_cast<uint8_t>(in.how), in.checkpoint, in.work_done.count(),
         in.detail);
}
void Write(cbor_array& out, const vm_joined& in) {
  Write(out, in.vm);
  Append(out, in.data_centre, in.rack, ToCbor(in.capacity));
}
void Write(cbor_array& out, const vm_left& in) {
  Write(out, in.vm);
}
void Write(cbor_array& out, const vm_drained& in) {
  Append(out, in.name, in.drained);
}
void Write(cbor_array& out, const vm_quarantined& in) {
  Append(out, in.name, in.quarantined, in.probes);
}
void Write(cbor_array& out, const command_done& in) {
  Append(out, in.command, in.accepted, in.detail);
}

void Read(cbor_reader& in, job_submitted& out) {
  out.spec = in.Spec();
}
void Read(cbor_reader& in, job_cancelled& out) {
  out.job = in.Text();
}
void Read(cbor_reader& in, job_parked& out) {
  out.job = in.Text();
  out.why = in.Text();
}
void Read(cbor_reader& in, job_resized& out) {
  out.job = in.Text();
  out.tasks = in.Int<uint32_t>();
}
void Read(cbor_reader& in, job_retired& out) {
  out.job = in.Text();
}
void Read(cbor_reader& in, attempt_granted& out) {
  out.attempt = in.Attempt();
  out.vm = in.Vm();
}
void Read(cbor_reader& in, attempt_running& out) {
  out.attempt = in.Attempt();
}
void Read(cbor_reader& in, attempt_stopping& out) {
  out.attempt = in.Attempt();
  out.why = in.Text();
}
void Read(cbor_reader& in, attempt_ended& out) {
  out.attempt = in.Attempt();
  out.how = in.Enum(attempt_end::kLost);
  out.checkpoint = in.Text();
  out.work_done = in.Millis();
  out.detail = in.Text();
}
void Read(cbor_reader& in, vm_joined& out) {
  out.vm = in.Vm();
  out.data_centre = in.Text();
  out.rack = in.Text();
  out.capacity = in.Resources();
}
void Read(cbor_reader& in, vm_left& out) {
  out.vm = in.Vm();
}
void Read(cbor_reader& in, vm_drained& out) {
  out.name = in.Text();
  out.drained = in.Bool();
}
void Read(cbor_reader& in, vm_quarantined& out) {
  out.name = in.Text();
  out.quarantined = in.Bool();
  out.probes = in.Int<uint32_t>();
}
void Read(cbor_reader& in, command_done& out) {
  out.command = in.Text();
  out.accepted = in.Bool();
  out.detail = in.Text();
}

// Reads the alternative with number `kind`; the numbers are part of the format,
// so new kinds are added at the end of the variant.
template <size_t I = 0>
event ReadKind(size_t kind, cbor_reader& in) {
  if constexpr (I < std::variant_size_v<event>) {
    if (kind == I) {
      std::variant_alternative_t<I, event> out;
      Read(in, out);
      return out;
    }
    return ReadKind<I + 1>(kind, in);
  } else {
    in.Fail();
    return {};
  }
}

}  // namespace

std::string EncodeEvents(const std::vector<event>& events) {
  return WriteCbor(Row(kRecordFormat, ToCborList(events, [](const event& one) {
                         cbor_array out = Row(one.index());
                         std::visit([&out](const auto& in) { Write(out, in); },
                                    one);
                         return out;
                       })));
}

result<std::vector<event>> DecodeEvents(std::string_view bytes) {
  const auto document = ParseCborArray(bytes, "the journal record");
  if (!document) {
    return document.last_reason();
  }
  cbor_reader in(*document);
  const auto format = in.Int<uint32_t>();
  if (in.ok() && format > kRecordFormat) {
    return reason{"newer_format", "the journal record has format " +
                                      std::to_string(format) +
                                      "; this program reads formats up to " +
                                      std::to_string(kRecordFormat)};
  }
  auto events = in.List<event>([](cbor_reader& one) {
    const auto kind = one.Int<size_t>();
    return ReadKind(kind, one);
  });
  if (!in.Finished() || format == 0) {
    return reason{"corrupt", "the journal record has an unknown layout"};
  }
  return events;
}

}  // namespace chiveglade::state
