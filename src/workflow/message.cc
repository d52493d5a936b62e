#include "chiveglade/workflow/message.h"

#include <cmath>

#include "src/state/cbor.h"
#include "src/workflow/key_codec.h"

namespace chiveglade::workflow {

namespace {

using state::Append;
using state::cbor_array;
using state::cbor_reader;
using state::Row;
using state::ToCborList;

// Weights are encoded as integers, in thousandths.
constexpr double kWeightScale = 1'000;

cbor_array ToCbor(const run_status& in) {
  return Row(ToCbor(in.run), in.started, in.percent, in.checkpoint, in.load,
             in.pace);
}

run_status ReadStatus(cbor_reader& in) {
  run_status out;
  out.run = ReadRun(in);
  out.started = in.Bool();
  out.percent = in.Int<uint32_t>();
  out.checkpoint = in.Text();
  out.load = in.Int<int32_t>();
  out.pace = in.Int<uint32_t>();
  return out;
}

cbor_array ToCbor(const run_end& in) {
  return Row(in.number, ToCbor(in.run), static_cast<int>(in.how),
             in.checkpoint);
}

run_end ReadEnd(cbor_reader& in) {
  run_end out;
  out.number = in.Int<uint64_t>();
  out.run = ReadRun(in);
  out.how = in.Enum(run_result::kRefused);
  out.checkpoint = in.Text();
  return out;
}

cbor_array ToCbor(const start_order& in) {
  return Row(ToCbor(in.run), in.payload, in.checkpoint, in.ticket, in.image,
             in.best_effort, in.millicores, in.latency_target.count());
}

start_order ReadStart(cbor_reader& in) {
  start_order out;
  out.run = ReadRun(in);
  out.payload = in.Text();
  out.checkpoint = in.Text();
  out.ticket = in.Text();
  out.image = in.Text();
  out.best_effort = in.Bool();
  out.millicores = in.Int<int64_t>();
  out.latency_target = in.Millis();
  return out;
}

cbor_array ToCbor(const orders& in) {
  cbor_array out = Row(in.epoch, in.coordinator, in.worker_incarnation,
                       in.boot_clock_ms, in.valid_for.count(), in.acknowledged);
  out.push_back(
      ToCborList(in.starts, [](const start_order& at) { return ToCbor(at); }));
  out.push_back(
      ToCborList(in.stops, [](const run_key& at) { return ToCbor(at); }));
  out.push_back(ToCborList(in.weights, [](const pair_weight& at) {
    return Row(at.best_effort_image, at.serving_image,
               std::lround(at.weight * kWeightScale));
  }));
  return out;
}

orders ReadOrders(cbor_reader& in) {
  orders out;
  out.epoch = in.Int<uint64_t>();
  out.coordinator = in.Text();
  out.worker_incarnation = in.Int<int64_t>();
  out.boot_clock_ms = in.Int<int64_t>();
  out.valid_for = in.Millis();
  out.acknowledged = in.Int<uint64_t>();
  out.starts = in.List<start_order>(ReadStart);
  out.stops = in.List<run_key>(ReadRunFields);
  out.weights = in.List<pair_weight>([](cbor_reader& at) {
    pair_weight weight;
    weight.best_effort_image = at.Text();
    weight.serving_image = at.Text();
    weight.weight = at.Int<int32_t>() / kWeightScale;
    return weight;
  });
  return out;
}

// Parses `bytes` as a CBOR array and converts it with `read`. `what` names the
// message in errors.
template <typename T, typename F>
result<T> Decode(std::string_view bytes, const char* what, F read) {
  auto parsed = state::ParseCborArray(bytes, what);
  if (!parsed) {
    return parsed.last_reason();
  }
  cbor_reader in(*parsed);
  T out = read(in);
  if (!in.Finished()) {
    return reason{"corrupt", std::string(what) + " has the wrong fields"};
  }
  return out;
}

}  // namespace

const char* ToString(run_result in) {
  switch (in) {
    case run_result::kDone:
      return "done";
    case run_result::kFailed:
      return "failed";
    case run_result::kStopped:
      return "stopped";
    case run_result::kLapsed:
      return "lapsed";
    case run_result::kGangBroken:
      return "broken";
    case run_result::kGangIncomplete:
      return "alone";
    case run_result::kRefused:
      return "refused";
  }
  return "unknown";
}

std::string Encode(const report& in) {
  cbor_array out = Row(in.vm, in.address, in.runner_incarnation, in.sequence,
                       in.boot_clock_ms, in.epoch, in.answered,
                       in.worker_incarnation, static_cast<int>(in.phase),
                       in.instance, in.service, in.data_centre, in.rack);
  Append(out, state::ToCbor(in.labels), state::ToCbor(in.capacity),
         in.remaining.count(), in.omits_runs, in.complete);
  out.push_back(
      ToCborList(in.runs, [](const run_status& at) { return ToCbor(at); }));
  out.push_back(
      ToCborList(in.ends, [](const run_end& at) { return ToCbor(at); }));
  out.push_back(ToCborList(in.refusals, [](const run_refusal& at) {
    return Row(ToCbor(at.run), at.why);
  }));
  return state::WriteCbor(out);
}

result<report> DecodeReport(std::string_view bytes) {
  return Decode<report>(bytes, "a report", [](cbor_reader& in) {
    report out;
    out.vm = in.Text();
    out.address = in.Text();
    out.runner_incarnation = in.Text();
    out.sequence = in.Int<uint64_t>();
    out.boot_clock_ms = in.Int<int64_t>();
    out.epoch = in.Int<uint64_t>();
    out.answered = in.Int<uint64_t>();
    out.worker_incarnation = in.Int<int64_t>();
    out.phase = in.Enum(worker_phase::kGone);
    out.instance = in.Text();
    out.service = in.Text();
    out.data_centre = in.Text();
    out.rack = in.Text();
    out.labels = in.Texts();
    out.capacity = ClampAmounts(in.Resources());
    out.remaining = in.Millis();
    out.omits_runs = in.Bool();
    out.complete = in.Bool();
    out.runs = in.List<run_status>(ReadStatus);
    out.ends = in.List<run_end>(ReadEnd);
    out.refusals = in.List<run_refusal>([](cbor_reader& at) {
      run_refusal refusal;
      refusal.run = ReadRun(at);
      refusal.why = at.Text();
      return refusal;
    });
    return out;
  });
}

std::string Encode(const report_reply& in) {
  cbor_array out =
      Row(in.epoch, in.grant.count(), in.worker_incarnation, in.acknowledged);
  out.push_back(
      ToCborList(in.undelivered, [](const orders& at) { return ToCbor(at); }));
  return state::WriteCbor(out);
}

result<report_reply> DecodeReportReply(std::string_view bytes) {
  return Decode<report_reply>(bytes, "an answer", [](cbor_reader& in) {
    report_reply out;
    out.epoch = in.Int<uint64_t>();
    out.grant = in.Millis();
    out.worker_incarnation = in.Int<int64_t>();
    out.acknowledged = in.Int<uint64_t>();
    out.undelivered = in.List<orders>(ReadOrders);
    return out;
  });
}

std::string Encode(const orders& in) {
  return state::WriteCbor(ToCbor(in));
}

result<orders> DecodeOrders(std::string_view bytes) {
  return Decode<orders>(bytes, "orders", ReadOrders);
}

}  // namespace chiveglade::workflow
