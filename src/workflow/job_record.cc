#include "chiveglade/workflow/job_record.h"

#include <algorithm>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

namespace {

using state::Append;
using state::cbor_array;
using state::cbor_reader;
using state::Row;
using state::ToCborList;

// Version of both encodings. Decoding rejects any other version.
constexpr uint32_t kFormatVersion = 1;

cbor_array ToCbor(const task_record& in) {
  return Row(static_cast<int>(in.phase), in.last_run, in.failures,
             in.checkpoint, ToCborList(in.live_runs, [](const placed_run& at) {
               return Row(at.run, at.vm, at.worker_incarnation);
             }));
}

task_record ReadTask(cbor_reader& in) {
  task_record out;
  out.phase = in.Enum(task_phase::kFailed);
  out.last_run = in.Int<uint32_t>();
  out.failures = in.Int<uint32_t>();
  out.checkpoint = in.Text();
  out.live_runs = in.List<placed_run>([](cbor_reader& at) {
    placed_run live;
    live.run = at.Int<uint32_t>();
    live.vm = at.Text();
    live.worker_incarnation = at.Int<int64_t>();
    return live;
  });
  return out;
}

// Writes the number of tasks and, for each task that is not in its initial
// state, an array of its index and its fields.
cbor_array ToCborStep(const std::vector<task_record>& tasks) {
  cbor_array changed;
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i] != task_record{}) {
      changed.push_back(Row(i, ToCbor(tasks[i])));
    }
  }
  return Row(tasks.size(), changed);
}

std::vector<task_record> ReadStep(cbor_reader& in) {
  const auto count = in.Int<size_t>();
  if (count > kMaxTasksPerJob) {
    in.Fail();
    return {};
  }
  std::vector<task_record> out(count);
  struct indexed {
    size_t index = 0;
    task_record task;
  };
  for (auto& at : in.List<indexed>([](cbor_reader& item) {
         indexed read;
         read.index = item.Int<size_t>();
         cbor_reader fields(item.Array());
         read.task = ReadTask(fields);
         if (!fields.Finished()) {
           item.Fail();
         }
         return read;
       })) {
    if (at.index >= count) {
      in.Fail();
      return {};
    }
    out[at.index] = std::move(at.task);
  }
  return out;
}

cbor_array ToCbor(const step_spec& in) {
  cbor_array out = Row(in.count, state::ToCbor(in.demand), in.estimate.count());
  cbor_array after;
  for (const uint32_t earlier : in.after) {
    after.push_back(earlier);
  }
  out.push_back(after);
  Append(out, in.saves_progress, in.gang, in.same_rack, in.allow_duplicates,
         in.long_running, in.best_effort, in.required_label, in.preferred_rack,
         in.max_per_vm, in.image, in.latency_target.count(),
         in.disruption_budget);
  return out;
}

step_spec ReadStepSpec(cbor_reader& in) {
  step_spec out;
  out.count = in.Int<uint32_t>();
  out.demand = in.Resources();
  out.estimate = in.Millis();
  cbor_reader after(in.Array());
  while (after.ok() && !after.Finished()) {
    out.after.push_back(after.Int<uint32_t>());
  }
  if (!after.ok()) {
    in.Fail();
  }
  out.saves_progress = in.Bool();
  out.gang = in.Bool();
  out.same_rack = in.Bool();
  out.allow_duplicates = in.Bool();
  out.long_running = in.Bool();
  out.best_effort = in.Bool();
  out.required_label = in.Text();
  out.preferred_rack = in.Text();
  out.max_per_vm = in.Int<uint32_t>();
  out.image = in.Text();
  out.latency_target = in.Millis();
  out.disruption_budget = in.Int<int32_t>();
  return out;
}

}  // namespace

job_record MakeJobRecord(const job_spec& job) {
  job_record out;
  std::vector<std::vector<task_record>> steps;
  for (const auto& step : job.steps) {
    steps.emplace_back(step.count);
  }
  out.tasks.assign(std::max(1U, job.repeat.occurrences), steps);
  return out;
}

job_phase PhaseOf(const job_record& record, const job_spec& job) {
  if (record.failed) {
    return job_phase::kFailed;
  }
  if (record.cancelled) {
    return job_phase::kCancelled;
  }
  bool complete = !record.tasks.empty();
  for (const auto& steps : record.tasks) {
    for (size_t s = 0; s < steps.size(); ++s) {
      for (const auto& task : steps[s]) {
        complete = complete && task.phase == task_phase::kDone;
      }
      complete = complete && s < job.steps.size();
    }
  }
  if (complete) {
    return job_phase::kCompleted;
  }
  return record.ever_started ? job_phase::kRunning : job_phase::kQueued;
}

std::string EncodeRecord(const job_record& in) {
  cbor_array occurrences;
  for (const auto& steps : in.tasks) {
    occurrences.push_back(ToCborList(steps, ToCborStep));
  }
  return state::WriteCbor(Row(kFormatVersion, in.cancelled, in.failed,
                              in.ever_started, occurrences));
}

result<job_record> DecodeRecord(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "a job record");
  if (!parsed) {
    return parsed.last_reason();
  }
  cbor_reader in(*parsed);
  job_record out;
  const auto format = in.Int<uint32_t>();
  out.cancelled = in.Bool();
  out.failed = in.Bool();
  out.ever_started = in.Bool();
  cbor_reader occurrences(in.Array());
  while (occurrences.ok() && !occurrences.Finished()) {
    out.tasks.push_back(occurrences.List<std::vector<task_record>>(ReadStep));
  }
  if (!occurrences.ok()) {
    in.Fail();
  }
  if (!in.Finished() || format != kFormatVersion) {
    return reason{"corrupt", "a job record has the wrong fields"};
  }
  return out;
}

std::string EncodeSubmission(const submission& in) {
  cbor_array out = Row(kFormatVersion, in.queue, in.service, in.priority,
                       in.attempts, in.accepted_unix_ms, in.job.payload);
  out.push_back(
      ToCborList(in.job.steps, [](const step_spec& at) { return ToCbor(at); }));
  Append(out, in.job.repeat.occurrences, in.job.repeat.first_unix_ms,
         in.job.repeat.interval.count());
  return state::WriteCbor(out);
}

result<submission> DecodeSubmission(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "a submission");
  if (!parsed) {
    return parsed.last_reason();
  }
  cbor_reader in(*parsed);
  submission out;
  const auto format = in.Int<uint32_t>();
  out.queue = in.Text();
  out.service = in.Text();
  out.priority = in.Int<uint32_t>();
  out.attempts = in.Int<uint32_t>();
  out.accepted_unix_ms = in.Int<int64_t>();
  out.job.payload = in.Text();
  out.job.steps = in.List<step_spec>(ReadStepSpec);
  out.job.repeat.occurrences = in.Int<uint32_t>();
  out.job.repeat.first_unix_ms = in.Int<int64_t>();
  out.job.repeat.interval = in.Millis();
  if (!in.Finished() || format != kFormatVersion || !CheckJob(out.job)) {
    return reason{"corrupt", "a submission has the wrong fields"};
  }
  return out;
}

}  // namespace chiveglade::workflow
