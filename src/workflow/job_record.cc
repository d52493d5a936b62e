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

// Versions of the encodings. Decoding rejects any other version.
constexpr uint32_t kProgressVersion = 2;
constexpr uint32_t kSubmissionVersion = 1;

// Calls `visit` with the number and the record of each task of a row.
template <typename Record, typename F>
void VisitRow(Record& job, uint32_t row, F visit) {
  const size_t first = size_t{row} * kTasksPerRow;
  const size_t end = first + kTasksPerRow;
  size_t begin = 0;  // number of the first task of the step
  for (auto& steps : job.tasks) {
    for (auto& tasks : steps) {
      for (size_t at = std::max(begin, first);
           at < std::min(begin + tasks.size(), end); ++at) {
        visit(static_cast<uint32_t>(at), tasks[at - begin]);
      }
      begin += tasks.size();
    }
  }
}

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

uint32_t ProgressRowOf(const job_record& job, const task_key& task) {
  const auto& steps = job.tasks[task.occurrence];
  size_t per_occurrence = 0;
  size_t number = task.index;
  for (size_t s = 0; s < steps.size(); ++s) {
    per_occurrence += steps[s].size();
    number += s < task.step ? steps[s].size() : 0;
  }
  number += task.occurrence * per_occurrence;
  return static_cast<uint32_t>(number / kTasksPerRow);
}

uint32_t ProgressRowCount(const job_record& job) {
  size_t tasks = 0;
  for (const auto& steps : job.tasks) {
    for (const auto& step : steps) {
      tasks += step.size();
    }
  }
  const size_t rows = (tasks + kTasksPerRow - 1) / kTasksPerRow;
  return static_cast<uint32_t>(std::max(rows, size_t{1}));
}

result<done> AddProgress(uint32_t number,
                         const progress_row& row,
                         job_record& to) {
  size_t added = 0;
  VisitRow(to, number, [&](uint32_t task, task_record& into) {
    if (const auto found = row.tasks.find(task); found != row.tasks.end()) {
      into = found->second;
      ++added;
    }
  });
  if (added != row.tasks.size()) {
    return reason{"corrupt",
                  "row " + std::to_string(number) +
                      " of the progress has tasks that do not belong there"};
  }
  to.phase = std::max(to.phase, row.phase);
  return done{};
}

std::string EncodeProgressRow(const job_record& in, uint32_t row) {
  cbor_array changed;
  VisitRow(in, row, [&](uint32_t number, const task_record& task) {
    if (task != task_record{}) {
      changed.push_back(Row(number, ToCbor(task)));
    }
  });
  return state::WriteCbor(
      Row(kProgressVersion, static_cast<int>(in.phase), changed));
}

result<progress_row> DecodeProgressRow(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "a row of progress");
  if (!parsed) {
    return parsed.last_reason();
  }
  cbor_reader in(*parsed);
  progress_row out;
  const auto format = in.Int<uint32_t>();
  out.phase = in.Enum(job_phase::kCancelled);
  cbor_reader tasks(in.Array());
  while (tasks.ok() && !tasks.Finished()) {
    cbor_reader item(tasks.Array());
    const auto number = item.Int<uint32_t>();
    cbor_reader fields(item.Array());
    auto task = ReadTask(fields);
    const bool valid = fields.Finished() && item.Finished() &&
                       number < kMaxTasksPerJob &&
                       out.tasks.emplace(number, std::move(task)).second;
    if (!valid) {
      tasks.Fail();
    }
  }
  if (!tasks.ok() || !in.Finished() || format != kProgressVersion) {
    return reason{"corrupt", "a row of progress has the wrong fields"};
  }
  return out;
}

std::string EncodeSubmission(const submission& in) {
  cbor_array out = Row(kSubmissionVersion, in.queue, in.service, in.priority,
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
  ClampNumbers(out.job);
  if (!in.Finished() || format != kSubmissionVersion || !CheckJob(out.job)) {
    return reason{"corrupt", "a submission has the wrong fields"};
  }
  return out;
}

}  // namespace chiveglade::workflow
