#include "chiveglade/observe/metrics.h"

#include <cassert>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chiveglade::observe {

namespace {

// Upper bounds in seconds, about three per decade.
const prometheus::Histogram::BucketBoundaries kDurationBuckets = {
    0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,    0.5,    1,     2.5,    5,     10,   30,    60};

const char* KindName(metric_kind kind) {
  switch (kind) {
    case metric_kind::kCounter:
      return "counter";
    case metric_kind::kGauge:
      return "gauge";
    case metric_kind::kHistogram:
      return "histogram";
  }
  return "";
}

}  // namespace

const std::vector<metric_info>& MetricCatalogue() {
  using kind = metric_kind;
  static const std::vector<metric_info> catalogue = {
      {"chiveglade_requests_total",
       kind::kCounter,
       {"tenant", "class", "verdict"},
       "Callers' requests by outcome. may_have_run rising: targets die or "
       "links break while requests are in flight."},
      {"chiveglade_request_seconds",
       kind::kHistogram,
       {"tenant", "class"},
       "Time from a request's header to the end of its answer."},
      {"chiveglade_request_retries_total",
       kind::kCounter,
       {"reason"},
       "Requests sent to another target after a refusal."},
      {"chiveglade_refusals_total",
       kind::kCounter,
       {"reason"},
       "Requests refused with not_run, by reason."},
      {"chiveglade_open_requests",
       kind::kGauge,
       {},
       "Requests being forwarded now."},
      {"chiveglade_targets",
       kind::kGauge,
       {"service"},
       "Targets in service that this entry knows."},
      {"chiveglade_scheduler",
       kind::kGauge,
       {},
       "1 if this entry is the scheduler. Alert if the sum over all entries is "
       "not 1 for 15 s."},
      {"chiveglade_scheduler_epoch",
       kind::kGauge,
       {},
       "Epoch of the scheduler. Rising often: entries fail or the store is "
       "slow."},
      {"chiveglade_tasks",
       kind::kGauge,
       {"phase"},
       "Tasks by phase, at the scheduler."},
      {"chiveglade_vms", kind::kGauge, {}, "VMs known to the scheduler."},
      {"chiveglade_quarantined_vms",
       kind::kGauge,
       {},
       "VMs set aside because tasks fail on them. Alert if above 0 for a day."},
      {"chiveglade_parked_jobs",
       kind::kGauge,
       {},
       "Jobs that no VM can hold; see chiveglade job status."},
      {"chiveglade_store_age_seconds",
       kind::kGauge,
       {},
       "Age of the newest confirmed reading of the control rows. Alert above "
       "5 s: the store is down or slow, nothing starts."},
      {"chiveglade_manifest_version",
       kind::kGauge,
       {},
       "Version of the manifest in effect here. Alert if two processes differ "
       "for more than 9 s."},
      {"chiveglade_agent_used_millicores",
       kind::kGauge,
       {},
       "Processors held by attempts on this VM, in thousandths."},
      {"chiveglade_agent_heartbeats",
       kind::kGauge,
       {"outcome"},
       "Heartbeats of this agent since it started. Alert if failed rises for "
       "every entry: the VM is cut off."},
      {"chiveglade_agent_queue",
       kind::kGauge,
       {"service"},
       "Requests waiting at this agent. Above 0 for long: the service is short "
       "of replicas."},
      {"chiveglade_job_requests_total",
       kind::kCounter,
       {"call", "outcome"},
       "Callers' requests about jobs at this gateway. Alert if refused or "
       "unknown rise: the store cannot be reached."},
      {"chiveglade_job_request_seconds",
       kind::kHistogram,
       {"call"},
       "Time to answer a request about a job."},
      {"chiveglade_jobs_active",
       kind::kGauge,
       {},
       "Jobs that have not ended, at the coordinator."},
      {"chiveglade_job_memory_bytes",
       kind::kGauge,
       {},
       "Memory held for accepted jobs, at the coordinator. Gateways refuse "
       "jobs "
       "before it reaches the budget for them."},
      {"chiveglade_jobs_yielding",
       kind::kGauge,
       {},
       "Jobs that are placed after jobs that can still be in time. If it grows "
       "for minutes, there is too little capacity."},
      {"chiveglade_latency_limit",
       kind::kGauge,
       {},
       "Mean share of their latency targets up to which best-effort tasks are "
       "placed beside serving tasks. Near 0.65: predictions fail, and best-"
       "effort jobs wait."},
      {"chiveglade_interference_pairs",
       kind::kGauge,
       {},
       "Pairs of images whose interference the coordinator has learned. 0 for "
       "long after a takeover, with best-effort tasks beside serving ones: "
       "what "
       "the last coordinator knew was not restored."},
      {"chiveglade_coordinator",
       kind::kGauge,
       {},
       "1 if this gateway is the coordinator. Alert if the sum over all "
       "gateways is not 1 for 15 s."},
      {"chiveglade_coordinator_epoch",
       kind::kGauge,
       {},
       "Epoch of the newest coordinator that this process knows. Rising often: "
       "gateways fail or cannot reach the store."},
      {"chiveglade_runs",
       kind::kGauge,
       {"outcome"},
       "Runs that this coordinator has placed, and how they ended. Alert if "
       "lost or hung rise."},
      {"chiveglade_vms_refused",
       kind::kGauge,
       {"reason"},
       "VMs that could not take a best-effort step that waits, counted about "
       "once a second and step. `latency`: the serving tasks have no slack at "
       "present; `peak_latency`: none at their recent peak."},
      {"chiveglade_jobs_idle",
       kind::kGauge,
       {"reason"},
       "Jobs with a task that could run, of which no worker has listed a run "
       "for 3 s. Alert if `undelivered`, `unconfirmed`, `not_stored` or "
       "`uninformed` stays above 0."},
      {"chiveglade_own_load_samples",
       kind::kGauge,
       {"condition"},
       "Measurements of serving tasks, by whether best-effort tasks run "
       "beside them, have just ended, or neither (`alone`)."},
      {"chiveglade_own_load_sum",
       kind::kGauge,
       {"condition"},
       "Sum over these measurements of the share of the latency target that "
       "is taken as the serving task's own load. If the mean beside best-"
       "effort tasks is well above that of `alone`, their interference is "
       "predicted too low."},
      {"chiveglade_placement_waits_total",
       kind::kCounter,
       {"waited_for", "outcome"},
       "Starts of tasks that this coordinator let wait for a rack, for one "
       "rack for their gang, or for a VM that is fast enough (speed). near: it "
       "was had; elsewhere: it was not worth more time; lost: the rack could "
       "no longer hold the task. Mostly elsewhere: the waits do not pay off."},
      {"chiveglade_placement_wait_seconds",
       kind::kHistogram,
       {"waited_for"},
       "How long such a task waited."},
      {"chiveglade_commit_seconds",
       kind::kHistogram,
       {},
       "Time from the decision to write progress until it is durable."},
      {"chiveglade_runner_grant_seconds",
       kind::kGauge,
       {},
       "How long this VM's tasks may go on without an answer of the "
       "coordinator. Alert below 2 s."},
      {"chiveglade_runner_filler_percent",
       kind::kGauge,
       {},
       "Share at which fillers work on this VM. Below 100: they disturb a "
       "serving task."},
      {"chiveglade_event_loop_lag_seconds",
       kind::kHistogram,
       {},
       "How late the event loop runs what is due. Alert if a tenth is above "
       "0.25 s: the process needs more processor time than its VM has."},
      {"chiveglade_operator_settings_age_seconds",
       kind::kHistogram,
       {},
       "Age of the operators' settings that this gateway acts on, sampled ten "
       "times a second. Alert if a hundredth is above 2 s: changes come late."},
      {"chiveglade_admission_refusals_total",
       kind::kCounter,
       {"kind"},
       "Clients refused or cut off because they reached a limit. Alert if "
       "memory or connections rise: ordinary callers may be refused too."},
      {"chiveglade_admission_held_bytes",
       kind::kGauge,
       {},
       "Memory charged for requests being received or handled and answers "
       "being sent."},
      {"chiveglade_admission_budget_bytes",
       kind::kGauge,
       {},
       "Most that may be charged."},
      {"chiveglade_admission_connections",
       kind::kGauge,
       {},
       "Connections that clients and peers have opened to this process."},
      {"chiveglade_log_lines_dropped",
       kind::kGauge,
       {},
       "Log lines that found no room since the process started."},
  };
  return catalogue;
}

std::string CatalogueMarkdown() {
  std::string out =
      "| metric | kind | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& info : MetricCatalogue()) {
    std::string names;
    for (const auto& name : info.label_names) {
      names += (names.empty() ? "" : ", ") + name;
    }
    out += "| `" + info.name + "` | " + KindName(info.kind) + " | " + names +
           " | " + info.meaning + " |\n";
  }
  return out;
}

struct metrics::families {
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      families_(std::make_unique<families>()) {
  for (const auto& info : MetricCatalogue()) {
    switch (info.kind) {
      case metric_kind::kCounter:
        families_->counters[info.name] = &prometheus::BuildCounter()
                                              .Name(info.name)
                                              .Help(info.meaning)
                                              .Register(*registry_);
        break;
      case metric_kind::kGauge:
        families_->gauges[info.name] = &prometheus::BuildGauge()
                                            .Name(info.name)
                                            .Help(info.meaning)
                                            .Register(*registry_);
        break;
      case metric_kind::kHistogram:
        families_->histograms[info.name] = &prometheus::BuildHistogram()
                                                .Name(info.name)
                                                .Help(info.meaning)
                                                .Register(*registry_);
        break;
    }
  }
}

metrics::~metrics() = default;

void metrics::Increment(const std::string& name, const labels& at, double by) {
  const auto family = families_->counters.find(name);
  assert(family != families_->counters.end());
  family->second->Add(at).Increment(by);
}

void metrics::Set(const std::string& name, const labels& at, double value) {
  const auto family = families_->gauges.find(name);
  assert(family != families_->gauges.end());
  family->second->Add(at).Set(value);
}

void metrics::Observe(const std::string& name,
                      const labels& at,
                      double seconds) {
  const auto family = families_->histograms.find(name);
  assert(family != families_->histograms.end());
  family->second->Add(at, kDurationBuckets).Observe(seconds);
}

std::string metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace chiveglade::observe
