#include "chiveglade/observe/timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace chiveglade::observe {

namespace {

// Lines that are not about a job but may explain what happened to it.
constexpr std::array<std::string_view, 18> kContextEvents = {
    "coordinator_gained",
    "coordinator_lost",
    "coordinator_ready",
    "data_centre_changed",
    "fillers_paced",
    "heartbeat_of_another_worker",
    "message_rejected",
    "orders_lost",
    "runs_over",
    "store_access_changed",
    "store_away",
    "store_reached_again",
    "worker_life",
    "worker_lost",
    "worker_leaving",
    "worker_not_listening",
    "coordinator_unreachable",
    "write_refused"};
// The end of a run and the line that tells why come within this time.
constexpr int64_t kSameMomentMs = 100;
// Fillers below this share of their speed count as throttled.
constexpr int64_t kThrottledPercent = 60;

int64_t ToNumber(std::string_view text) {
  int64_t out = 0;
  // A field that is no number counts as zero: lines are for people first.
  (void)std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

// Order of lines with the same time: causes first.
int RankOf(std::string_view event) {
  constexpr std::array<std::string_view, 2> kFirst = {"job_accepted",
                                                      "run_placed"};
  constexpr std::array<std::string_view, 2> kLast = {"run_ended", "job_ended"};
  const auto* first = std::find(kFirst.begin(), kFirst.end(), event);
  const auto* last = std::find(kLast.begin(), kLast.end(), event);
  return static_cast<int>(first - kFirst.begin()) +
         (last == kLast.end() ? 0 : 1 + static_cast<int>(last - kLast.begin()));
}

// Reads a quoted value from behind its opening quote; moves `at` behind the
// closing one.
std::string ReadQuoted(std::string_view line, size_t& at) {
  std::string out;
  while (at < line.size() && line[at] != '"') {
    if (line[at] == '\\' && at + 1 < line.size()) {
      ++at;
    }
    out += line[at++];
  }
  ++at;
  return out;
}

// One run of one task.
struct run_history {
  std::string task;
  std::string vm;
  std::string outcome;  // empty: not seen to have ended
  int64_t placed = 0;
  int64_t ended = 0;
  int64_t unanswered_until = 0;  // the last unanswered start order
  // Before it was placed, waited for a faster place: "rack:NAME", "gang:NAME"
  // or "speed".
  int64_t waited = 0;
  std::string waited_for;
  bool hung = false;
  bool moved = false;
  std::string given_up;  // why the start was given up
};

struct interval {
  int64_t from = 0;
  int64_t to = 0;
};

std::string CauseOfWait(const run_history& run) {
  return "waited_for_" + run.waited_for.substr(0, run.waited_for.find(':'));
}

int64_t Overlap(const interval& a, const interval& b) {
  return std::max<int64_t>(0, std::min(a.to, b.to) - std::max(a.from, b.from));
}

// Puts the lines of a job into the order of cause and effect, and finds where
// its time went.
class analysis {
 public:
  analysis(const std::vector<log_event>& own,
           const std::vector<log_event>& context);

  explanation Result();

 private:
  void ReadOwn();
  void ReadContext();
  run_history& RunOf(const log_event& line);
  void Spend(const std::string& cause, const std::string& where, int64_t ms);
  // Accounts for the time up to `until`, backwards along the chain of runs.
  void WalkBack(int64_t until);
  void AccountRun(const run_history& run);
  // `before` is the run that was placed at the end of the wait; may be null.
  void AccountWait(const interval& wait, const run_history* before);
  std::string CauseOfLoss(const run_history& run) const;
  void ExplainRefusal(explanation& out) const;
  void ExplainUnfinished(explanation& out) const;
  void ExplainFailure(explanation& out) const;
  void ExplainTime(explanation& out) const;
  void MarkAndOrder(explanation& out) const;

  const std::vector<log_event>& own_;
  const std::vector<log_event>& context_;
  std::map<std::pair<std::string, int64_t>, run_history> runs_;
  int64_t accepted_ = 0;
  int64_t first_placed_ = 0;
  const log_event* end_ = nullptr;
  std::vector<interval> leaderless_;
  // By VM: when its fillers were throttled.
  std::map<std::string, std::vector<interval>> throttled_;
  std::map<std::pair<std::string, std::string>, int64_t> spent_;
};

analysis::analysis(const std::vector<log_event>& own,
                   const std::vector<log_event>& context)
    : own_(own), context_(context) {
  ReadOwn();
  ReadContext();
}

run_history& analysis::RunOf(const log_event& line) {
  const std::string task(line.Find("task"));
  auto& run = runs_[{task, ToNumber(line.Find("run"))}];
  run.task = task;
  return run;
}

void analysis::ReadOwn() {
  for (const auto& line : own_) {
    if (line.event == "job_accepted") {
      accepted_ =
          accepted_ == 0 ? line.unix_ms : std::min(accepted_, line.unix_ms);
    } else if (line.event == "run_placed") {
      auto& run = RunOf(line);
      run.placed = line.unix_ms;
      run.vm = line.Find("vm");
      run.waited = ToNumber(line.Find("waited_ms"));
      run.waited_for = line.Find("waited_for");
      first_placed_ = first_placed_ == 0
                          ? line.unix_ms
                          : std::min(first_placed_, line.unix_ms);
    } else if (line.event == "run_ended") {
      auto& run = RunOf(line);
      run.ended = line.unix_ms;
      run.outcome = line.Find("outcome");
      run.vm = line.Find("vm");
    } else if (line.event == "run_hung") {
      RunOf(line).hung = true;
    } else if (line.event == "run_moved") {
      RunOf(line).moved = true;
    } else if (line.event == "start_given_up") {
      RunOf(line).given_up = line.Find("reason");
    } else if (line.event == "start_answer" &&
               line.Find("outcome") == "no_answer") {
      auto& run = RunOf(line);
      run.unanswered_until = std::max(run.unanswered_until, line.unix_ms);
    } else if (line.event == "job_ended") {
      end_ = &line;
    }
  }
  // The clock of the gateway that accepted may be ahead of the coordinator's.
  if (accepted_ == 0 || (first_placed_ != 0 && first_placed_ < accepted_)) {
    accepted_ = first_placed_;
  }
}

void analysis::ReadContext() {
  int64_t lost_at = 0;
  std::map<std::string, int64_t> slow_since;
  for (const auto& line : context_) {
    // Without a line of loss the holder before has died, at the latest now.
    if (line.event == "coordinator_lost" ||
        (line.event == "coordinator_gained" && lost_at == 0)) {
      lost_at = line.unix_ms;
    } else if (line.event == "coordinator_ready") {
      if (lost_at != 0) {
        leaderless_.push_back({lost_at, line.unix_ms});
      }
      lost_at = 0;
    } else if (line.event == "fillers_paced") {
      const bool slow =
          ToNumber(line.Find("lowest_percent")) < kThrottledPercent;
      const auto at = slow_since.find(line.process);
      if (slow && at == slow_since.end()) {
        slow_since[line.process] = line.unix_ms;
      } else if (!slow && at != slow_since.end()) {
        throttled_[line.process].push_back({at->second, line.unix_ms});
        slow_since.erase(at);
      }
    }
  }
  for (const auto& [vm, since] : slow_since) {
    throttled_[vm].push_back({since, INT64_MAX});
  }
}

void analysis::Spend(const std::string& cause,
                     const std::string& where,
                     int64_t ms) {
  if (ms > 0) {
    spent_[{cause, where}] += ms;
  }
}

std::string analysis::CauseOfLoss(const run_history& run) const {
  if (run.hung) {
    return "task_hung";
  }
  if (run.given_up == "draining" ||
      run.given_up == "data_centre_out_of_service") {
    return "vm_left";
  }
  if (!run.given_up.empty()) {
    return "start_" + run.given_up;
  }
  if (run.moved) {
    return "throttled";
  }
  if (run.outcome == "failed") {
    return "attempt_failed";
  }
  if (run.outcome == "refused") {
    return "start_refused";
  }
  for (const auto& line : context_) {
    if (line.event == "runs_over" && line.Find("vm") == run.vm &&
        std::abs(line.unix_ms - run.ended) <= kSameMomentMs) {
      return std::string(line.Find("reason"));
    }
  }
  return "run_" + run.outcome;
}

void analysis::AccountRun(const run_history& run) {
  const interval ran{run.placed, run.ended};
  if (run.outcome != "done") {
    Spend(CauseOfLoss(run), run.vm, ran.to - ran.from);
    return;
  }
  int64_t slow = 0;
  if (const auto at = throttled_.find(run.vm); at != throttled_.end()) {
    for (const auto& span : at->second) {
      slow += Overlap(ran, span);
    }
  }
  const int64_t unanswered =
      std::max<int64_t>(0, run.unanswered_until - run.placed);
  Spend("throttled", run.vm, slow);
  Spend("start_unanswered", run.vm, unanswered);
  Spend("work", run.vm, ran.to - ran.from - slow - unanswered);
}

void analysis::AccountWait(const interval& wait, const run_history* before) {
  int64_t leaderless = 0;
  for (const auto& span : leaderless_) {
    leaderless += Overlap(wait, span);
  }
  Spend("no_coordinator", "", leaderless);
  const int64_t rest = wait.to - wait.from - leaderless;
  int64_t chosen = 0;
  if (before && before->waited > 0) {
    chosen = std::min(rest, before->waited);
    const auto colon = before->waited_for.find(':');
    Spend(
        CauseOfWait(*before),
        colon == std::string::npos ? "" : before->waited_for.substr(colon + 1),
        chosen);
  }
  Spend("waited_for_room", "", rest - chosen);
}

void analysis::WalkBack(int64_t until) {
  // Of the runs that ended by then, the last decided; before it was placed, an
  // earlier run of its task, or else the end of a step before.
  std::string task;
  const run_history* before = nullptr;
  while (until > accepted_) {
    const run_history* last = nullptr;
    for (const auto& [key, run] : runs_) {
      const bool fits = run.placed != 0 && !run.outcome.empty() &&
                        run.ended <= until && run.placed < until &&
                        (run.outcome == "done" || run.task == task);
      if (fits && (!last || run.ended > last->ended ||
                   (run.ended == last->ended && run.placed < last->placed))) {
        last = &run;
      }
    }
    if (!last) {
      AccountWait({accepted_, until}, before);
      return;
    }
    AccountWait({last->ended, until}, before);
    AccountRun(*last);
    before = last;
    task = last->task;
    until = last->placed;
  }
}

void analysis::ExplainRefusal(explanation& out) const {
  out.outcome = "refused";
  const auto& last = own_.back();
  const std::string reason(last.Find("reason"));
  if (last.event == "job_refused") {
    out.cause = "invalid_request";
    out.detail = "the body is not a job: " + reason;
  } else {
    out.cause = last.Find("may_be_stored") == "yes" ? "store_did_not_answer"
                                                    : "store_out_of_reach";
    out.detail = "gateway " + last.process + " could not store it: " + reason;
  }
}

void analysis::ExplainUnfinished(explanation& out) const {
  out.outcome = "unfinished";
  out.cause = "waited_for_room";
  out.detail = "no task is on a VM";
  for (const auto& [key, run] : runs_) {
    if (run.placed != 0 && run.outcome.empty()) {
      out.cause = "run_not_ended";
      out.detail = "run " + std::to_string(key.second) + " of " + run.task +
                   " on " + run.vm + " has not ended in these logs";
      return;
    }
  }
}

void analysis::ExplainFailure(explanation& out) const {
  // The task whose attempts ran out is the one that failed most often.
  std::map<std::string, std::set<std::string>> vms_by_task;
  std::map<std::string, size_t> failures;
  for (const auto& [key, run] : runs_) {
    if (run.outcome == "failed") {
      vms_by_task[run.task].insert(run.vm);
      ++failures[run.task];
    }
  }
  const auto worst = std::max_element(
      failures.begin(), failures.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (worst == failures.end()) {
    out.cause = "unknown";
    out.detail = "no failed run is in these logs";
    return;
  }
  const auto& vms = vms_by_task[worst->first];
  out.cause = vms.size() > 1 ? "task_fails" : "worker_fails";
  out.detail =
      worst->first + " failed " + std::to_string(worst->second) + " times, on";
  for (const auto& vm : vms) {
    out.detail += " " + vm;
  }
}

void analysis::ExplainTime(explanation& out) const {
  if (out.late <= millis(0)) {
    out.cause = "in_time";
    out.detail = "it met its objective";
    return;
  }
  // The shares stand in falling order.
  const auto worst =
      std::find_if(out.shares.begin(), out.shares.end(),
                   [](const auto& share) { return share.cause != "work"; });
  // What is smaller than the delay did not cause it alone, but without any
  // delay of weight the work itself was longer than the estimates said.
  constexpr int kSmallPart = 4;
  if (worst == out.shares.end() || worst->time < out.late / kSmallPart) {
    out.cause = "long_work";
    out.detail = "its runs took longer than the estimates said";
    return;
  }
  out.cause = worst->cause;
  out.detail = std::to_string(worst->time.count()) + " ms" +
               (worst->where.empty() ? "" : " on " + worst->where);
}

void analysis::MarkAndOrder(explanation& out) const {
  // True if a run of the job was on the VM at that time.
  const auto was_on = [this](std::string_view vm, int64_t at) {
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& item) {
      const auto& run = item.second;
      return run.vm == vm && at >= run.placed &&
             (run.ended == 0 || at <= run.ended + kSameMomentMs);
    });
  };
  const int64_t until = end_ ? end_->unix_ms : INT64_MAX;
  for (const auto& line : own_) {
    timeline_entry entry{line, line.unix_ms, false};
    if (line.event == "job_accepted") {
      entry.order_ms = accepted_;
    } else if (const auto at = runs_.find({std::string(line.Find("task")),
                                           ToNumber(line.Find("run"))});
               at != runs_.end() && at->second.placed != 0) {
      // The runner's clock may differ from the coordinator's.
      const auto& run = at->second;
      entry.order_ms = std::clamp(
          line.unix_ms, run.placed,
          std::max(run.placed, run.ended == 0 ? INT64_MAX : run.ended));
      if (line.event == "run_placed") {
        entry.marked = run.waited > 0 && out.cause == CauseOfWait(run);
      } else {
        entry.marked = CauseOfLoss(run) == out.cause;
      }
    }
    out.entries.push_back(std::move(entry));
  }
  for (const auto& line : context_) {
    const bool about_vm = was_on(line.process, line.unix_ms) ||
                          was_on(line.Find("vm"), line.unix_ms);
    const bool is_global = line.event.starts_with("coordinator_") ||
                           line.event.starts_with("store_") ||
                           line.event == "data_centre_changed";
    if (line.unix_ms >= accepted_ && line.unix_ms <= until &&
        (about_vm || (is_global && !line.event.ends_with("unreachable")))) {
      const bool marked =
          (out.cause == "throttled" && line.event == "fillers_paced" &&
           ToNumber(line.Find("lowest_percent")) < kThrottledPercent) ||
          (out.cause == "no_coordinator" &&
           line.event.starts_with("coordinator_")) ||
          line.Find("reason") == out.cause;
      out.entries.push_back({line, line.unix_ms, marked});
    }
  }
  std::stable_sort(out.entries.begin(), out.entries.end(),
                   [](const timeline_entry& a, const timeline_entry& b) {
                     return std::pair(a.order_ms, RankOf(a.line.event)) <
                            std::pair(b.order_ms, RankOf(b.line.event));
                   });
}

explanation analysis::Result() {
  explanation out;
  if (accepted_ == 0) {
    ExplainRefusal(out);
  } else if (!end_) {
    ExplainUnfinished(out);
  } else {
    out.outcome = end_->Find("outcome");
    out.late = millis(ToNumber(end_->Find("late_ms")));
    WalkBack(end_->unix_ms);
    for (const auto& [key, ms] : spent_) {
      out.shares.push_back({key.first, key.second, millis(ms)});
    }
    std::sort(out.shares.begin(), out.shares.end(),
              [](const time_share& a, const time_share& b) {
                return a.time > b.time;
              });
    if (out.outcome == "failed") {
      ExplainFailure(out);
    } else if (out.outcome == "cancelled") {
      out.cause = "cancelled";
      out.detail = "a caller cancelled it";
    } else {
      ExplainTime(out);
    }
  }
  MarkAndOrder(out);
  return out;
}

}  // namespace

std::string_view log_event::Find(std::string_view key) const {
  for (const auto& [name, value] : fields) {
    if (name == key) {
      return value;
    }
  }
  return {};
}

std::optional<log_event> ParseLogLine(std::string_view line) {
  constexpr std::string_view kStart = "time_ms=";
  size_t at = line.find(kStart);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  log_event out;
  while (at < line.size()) {
    const size_t equals = line.find('=', at);
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(line.substr(at, equals - at));
    std::string value;
    at = equals + 1;
    if (at < line.size() && line[at] == '"') {
      value = ReadQuoted(line, ++at);
    } else {
      const size_t end = std::min(line.find(' ', at), line.size());
      value = line.substr(at, end - at);
      at = end;
    }
    at = std::min(line.find_first_not_of(" \r\n", at), line.size());
    if (key == "time_ms") {
      out.unix_ms = ToNumber(value);
    } else if (key == "event") {
      out.event = std::move(value);
    } else if (key == "process") {
      out.process = std::move(value);
    } else {
      out.fields.emplace_back(key, std::move(value));
    }
  }
  if (out.event.empty()) {
    return std::nullopt;
  }
  return out;
}

bool timeline::IsOwn(const log_event& line) const {
  return line.Find("job") == job_ ||
         line.Find("task").starts_with(job_ + "/") ||
         line.Find("path").ends_with("/" + job_);
}

void timeline::Add(const log_event& line) {
  if (IsOwn(line)) {
    own_.push_back(line);
  } else if (std::find(kContextEvents.begin(), kContextEvents.end(),
                       line.event) != kContextEvents.end()) {
    context_.push_back(line);
  }
}

explanation timeline::Explain() const {
  if (!found()) {
    explanation out;
    out.outcome = out.cause = "unknown";
    out.detail = "no line is about the job";
    return out;
  }
  const auto by_time = [](const log_event& a, const log_event& b) {
    return a.unix_ms < b.unix_ms;
  };
  auto own = own_;
  auto context = context_;
  std::stable_sort(own.begin(), own.end(), by_time);
  std::stable_sort(context.begin(), context.end(), by_time);
  return analysis(own, context).Result();
}

}  // namespace chiveglade::observe
