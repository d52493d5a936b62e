#include "entry_metrics.h"

#include <map>
#include <string>

#include "chiveglade/state/phase_name.h"

namespace chiveglade::app {

namespace {

constexpr double kMillisPerSecond = 1000.0;

void UpdateSchedulerGauges(entry_context& context) {
  const auto& scheduler = *context.scheduler;
  auto& metrics = context.metrics;
  metrics.Set("chiveglade_scheduler", {}, scheduler.holds_role() ? 1 : 0);
  metrics.Set("chiveglade_scheduler_epoch", {},
              static_cast<double>(scheduler.epoch()));
  const auto& state = scheduler.committed();
  std::map<std::string, double> phases;
  for (const char* phase : {"pending", "starting", "running", "stopping",
                            "finished", "cancelled", "failed"}) {
    phases[phase] = 0;
  }
  double parked = 0;
  for (const auto& [name, job] : state.jobs()) {
    parked += job.parked_reason.empty() ? 0 : 1;
    for (const auto& task : job.tasks) {
      ++phases[state::PhaseName(task.phase)];
    }
  }
  for (const auto& [phase, count] : phases) {
    metrics.Set("chiveglade_tasks", {{"phase", phase}}, count);
  }
  metrics.Set("chiveglade_parked_jobs", {}, parked);
  metrics.Set("chiveglade_vms", {}, static_cast<double>(state.vms().size()));
  metrics.Set("chiveglade_quarantined_vms", {},
              static_cast<double>(state.quarantined().size()));
}

}  // namespace

void RecordRequest(entry_context& context,
                   const routing::request_record& record) {
  const std::string tenant =
      record.workspace.empty() ? "none" : record.workspace;
  const std::string klass = record.klass.empty() ? "none" : record.klass;
  auto& metrics = context.metrics;
  metrics.Increment("chiveglade_requests_total",
                    {{"tenant", tenant},
                     {"class", klass},
                     {"verdict", std::string(ToString(record.execution))}});
  metrics.Observe(
      "chiveglade_request_seconds", {{"tenant", tenant}, {"class", klass}},
      static_cast<double>(record.latency.count()) / kMillisPerSecond);
  if (record.tries > 1) {
    metrics.Increment(
        "chiveglade_request_retries_total",
        {{"reason", record.code.empty() ? "answered" : record.code}},
        record.tries - 1);
  }
  if (record.execution == verdict::kNotRun) {
    metrics.Increment("chiveglade_refusals_total",
                      {{"reason", record.code.empty() ? "none" : record.code}});
  }
}

void UpdateGauges(entry_context& context, uint32_t open_requests) {
  auto& metrics = context.metrics;
  metrics.Set("chiveglade_open_requests", {}, open_requests);
  const auto view = context.reader->view();
  metrics.Set("chiveglade_manifest_version", {},
              static_cast<double>(view->published.version));
  const auto confirmed = context.reader->confirmed_at();
  const double age =
      confirmed ? static_cast<double>((context.clock() - *confirmed).count()) /
                      kMillisPerSecond
                : -1;
  metrics.Set("chiveglade_store_age_seconds", {}, age);
  if (view->manifest) {
    for (const auto& service : view->manifest->services) {
      size_t in_service = 0;
      for (const auto& at : context.directory->Status(service.name)) {
        in_service += at.in_service ? 1 : 0;
      }
      metrics.Set("chiveglade_targets", {{"service", service.name}},
                  static_cast<double>(in_service));
    }
  }
  UpdateSchedulerGauges(context);
}

}  // namespace chiveglade::app
