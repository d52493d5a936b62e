#include "coordinator_host.h"

#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

#include "lifecycle.h"
#include "peer_call.h"

namespace chiveglade::app {

namespace {

using workflow::write_status;

// Renewal, settling and the expiry of grants need no finer clock.
constexpr millis kTickInterval{50};
constexpr millis kOrdersTimeout{600};
constexpr millis kGreetingTimeout{400};
constexpr millis kReadRetry{100};
constexpr millis kOnce{0};
// Wait of the watch of jobs. Without changes what is known is up to twice as
// old, and passes must not take that for overdue news.
constexpr millis kJobsWait{500};
// Interval between claims, longer than a handover takes.
constexpr millis kClaimInterval{1'000};
// The rows of jobs that ended under earlier holders are read when the takeover
// has settled; only their deletion depends on it.
constexpr millis kSweepDelay{10'000};
constexpr millis kSweepRetry{2'000};
// Jobs that ended are moved out of the tables that a takeover reads this often,
// in transactions of at most 100 entries.
constexpr millis kEndedInterval{250};
constexpr size_t kMaxEndedPerWrite = 100 / workflow::kEntriesPerEndedJob;
constexpr size_t kMaxCancellationsPerWrite =
    100 / workflow::kEntriesPerCancellation;

// A gateway that has not asked for room for this long accepts no jobs.
constexpr millis kGatewaySilent{5'000};
// Far more than there are; bounds what unknown peers can leave behind.
constexpr size_t kMaxGateways = 1'000;

// A store that is away refuses several writes a second.
constexpr millis kRefusalLogInterval{1'000};

// The prefixes that together cover a table of jobs.
std::vector<std::string> DigitPrefixes(const std::string& table) {
  std::vector<std::string> out;
  for (const char digit : workflow::kJobIdDigits) {
    out.push_back(table + digit);
  }
  return out;
}

}  // namespace

coordinator_host::coordinator_host(strand on,
                                   peer_pool& peers,
                                   observe::metrics& metrics,
                                   coordinator_host_options options,
                                   hooks hooks)
    : on_(std::move(on)),
      peers_(peers),
      metrics_(metrics),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      pacer_(options_.commit_interval),
      pump_timer_(on_) {
  workflow::writer_options writing;
  writing.self = options_.self;
  writing.succession = options_.succession;
  writing.poll_interval = options_.poll_interval;
  writing.idle_poll_interval = options_.idle_poll_interval;
  workflow::fenced_writer::hooks to;
  to.table = hooks_.table;
  to.clock = hooks_.clock;
  to.random = hooks_.random;
  to.gained = [this](uint64_t epoch) { OnGained(epoch); };
  to.lost = [this](const char* why) { OnLost(why); };
  to.other_holder_seen = [this](const workflow::leader_row& row) {
    OnLeader(row);
    Claim(row);
  };
  to.write_refused = [this](const reason& why,
                            const store::transaction& change) {
    LogRefusedWrite(why, change);
  };
  to.row_unreadable = [this](const reason& why) {
    hooks_.log("leader_row_unreadable", {{"reason", why.detail}});
  };
  writer_ = std::make_unique<workflow::fenced_writer>(writing, std::move(to));
  if (options_.keep_interference) {
    MakeInterferenceKeeper();
  }
}

void coordinator_host::MakeInterferenceKeeper() {
  interference_keeper::hooks to;
  to.table = hooks_.table;
  to.clock = hooks_.clock;
  to.unix_ms = hooks_.unix_ms;
  to.log = hooks_.log;
  to.learned = [this](int64_t unix_ms) {
    return coordinator_->ExportInterference(unix_ms);
  };
  to.restored = [this](const std::vector<workflow::learned_pair>& pairs,
                       int64_t unix_ms) {
    const size_t taken = coordinator_->ImportInterference(pairs, unix_ms);
    SchedulePump(kOnce);
    return taken;
  };
  interference_ = std::make_unique<interference_keeper>(options_.max_row_bytes,
                                                        std::move(to));
}

void coordinator_host::Start() {
  RunEvery(on_, kTickInterval, [this] {
    writer_->Tick();
    Pump();
    if (interference_ && ready() && HoldsForSure()) {
      interference_->Tick();
    }
  });
  RunEvery(on_, kEndedInterval, [this] {
    WriteEnded();
    DeleteEarlyCancellations();
  });
}

bool coordinator_host::HoldsForSure() const {
  return writer_->holds() && hooks_.clock() - writer_->last_commit_sent_at() <
                                 options_.succession.lease;
}

void coordinator_host::AdoptOperatorState() {
  auto [newest, as_of] = hooks_.operators();
  informed_as_of_ = std::min(as_of, jobs_as_of_);
  coordinator_->SetInformedAsOf(informed_as_of_);
  if (newest == adopted_) {
    return;
  }
  adopted_ = std::move(newest);
  if (adopted_->catalogue) {
    coordinator_->SetCatalogue(*adopted_->catalogue);
  }
  coordinator_->SetOutOfService(adopted_->out_of_service);
}

void coordinator_host::LogNews(millis age) {
  const bool was_overdue = overdue_age_ > millis(0);
  const bool is_overdue = commit_pacer::IsOverdue(age);
  if (is_overdue && !was_overdue) {
    const auto jobs_age = hooks_.clock() - jobs_as_of_;
    hooks_.log("news_overdue",
               {{"age_ms", std::to_string(age.count())},
                {"jobs_age_ms", std::to_string(jobs_age.count())}});
  } else if (was_overdue && !is_overdue) {
    hooks_.log("news_heard",
               {{"worst_ms", std::to_string(overdue_age_.count())}});
  }
  overdue_age_ = is_overdue ? age : millis(0);
}

void coordinator_host::LogRefusedWrite(const reason& why,
                                       const store::transaction& change) {
  const auto now = hooks_.clock();
  if (now - refusal_logged_at_ < kRefusalLogInterval) {
    return;
  }
  refusal_logged_at_ = now;
  size_t bytes = 0;
  const store::mutation* largest = nullptr;
  const auto size_of = [](const store::mutation& in) {
    return in.value ? in.value->size() : 0;
  };
  for (const auto& mutation : change.mutations) {
    bytes += size_of(mutation);
    if (!largest || size_of(mutation) > size_of(*largest)) {
      largest = &mutation;
    }
  }
  hooks_.log(
      "write_refused",
      {{"reason", why.detail},
       {"rows", std::to_string(change.mutations.size())},
       {"bytes", std::to_string(bytes)},
       {"largest", largest ? largest->key : ""},
       {"largest_bytes", std::to_string(largest ? size_of(*largest) : 0)}});
}

void coordinator_host::OnLeader(const workflow::leader_row& row) {
  if (row.epoch < leader_.epoch || row.epoch == 0) {
    return;
  }
  if (row.epoch > leader_.epoch) {
    hooks_.log("leader_seen",
               {{"epoch", std::to_string(row.epoch)}, {"holder", row.holder}});
  }
  if (row.released) {
    writer_->PollNow();
  }
  leader_ = row;
}

void coordinator_host::Release(const std::function<void()>& then) {
  // The others learn of it by the row, or at once by this message.
  writer_->Release([this, then] {
    if (!coordinator_) {
      then();
      return;
    }
    OnLost("released");
    then();
  });
}

void coordinator_host::OnGained(uint64_t epoch) {
  hooks_.log("coordinator_gained", {{"epoch", std::to_string(epoch)}});
  if (hooks_.gained) {
    hooks_.gained();
  }
  leader_ = {};
  leader_.epoch = epoch;
  leader_.holder = options_.self.name;
  leader_.address = options_.self.address;
  auto options = options_.coordinator;
  options.epoch = epoch;
  options.address = options_.self.address;
  options.log = hooks_.log;
  options.keep_interference = options_.keep_interference;
  options.wait_ended = [this](const char* waited_for, const char* outcome,
                              millis waited) {
    metrics_.Increment("chiveglade_placement_waits_total",
                       {{"waited_for", waited_for}, {"outcome", outcome}});
    metrics_.Observe("chiveglade_placement_wait_seconds",
                     {{"waited_for", waited_for}},
                     std::chrono::duration<double>(waited).count());
  };
  coordinator_ = std::make_unique<workflow::coordinator>(std::move(options));
  adopted_.reset();
  jobs_as_of_ = {};
  AdoptOperatorState();
  recovered_ = progress_read_ = jobs_read_ = false;
  progress_.clear();
  unreadable_.clear();
  waiting_rows_.clear();
  early_cancellations_ = {};
  gained_at_ = hooks_.clock();
  // Nobody else writes progress now, and a job leaves its table only after its
  // last progress, so the two tables can be read side by side.
  ReadProgress();
  FollowJobs();
  if (interference_) {
    interference_->Begin();
  }
}

void coordinator_host::OnLost(const char* why) {
  hooks_.log("coordinator_lost",
             {{"epoch", std::to_string(leader_.epoch)}, {"reason", why}});
  if (interference_) {
    interference_->End();
  }
  jobs_.reset();
  progress_scan_.reset();
  members_.reset();
  ended_scans_.clear();
  successor_.reset();
  coordinator_.reset();
  recovered_ = false;
  if (handed_to_) {
    leader_.released = true;
    Greet(std::exchange(handed_to_, std::nullopt)->address);
  }
}

store::table_scan::hooks coordinator_host::ScanHooks(const char* table) {
  store::table_scan::hooks to;
  to.table = hooks_.table;
  to.after = [this](millis wait, const std::function<void()>& then) {
    CallAfter(wait, then);
  };
  to.lost = [this, table](const reason& why) {
    hooks_.log("scan_interrupted", {{"table", table}, {"reason", why.code}});
  };
  to.regained = [this, table] {
    hooks_.log("scan_resumed", {{"table", table}});
  };
  return to;
}

void coordinator_host::CallAfter(millis wait,
                                 const std::function<void()>& then) {
  auto timer = std::make_shared<net::asio::steady_timer>(on_, wait);
  timer->async_wait(
      [timer, then](const boost::system::error_code&) { then(); });
}

void coordinator_host::ReadProgress() {
  store::scan_options options;
  options.prefix = kProgressPrefix;
  auto to = ScanHooks(kProgressPrefix);
  to.page = [this](const std::vector<store::row>& rows) { AddProgress(rows); };
  to.finished = [this](uint64_t) {
    progress_read_ = true;
    AddRows(std::exchange(waiting_rows_, {}));
    if (jobs_read_) {
      FinishRecovery();
    }
  };
  progress_scan_ = store::table_scan::Make(std::move(options), std::move(to));
  progress_scan_->Start();
}

void coordinator_host::AddProgress(const std::vector<store::row>& rows) {
  for (const auto& row : rows) {
    const auto key = workflow::ParseProgressKey(row.key);
    if (!key) {
      hooks_.log("progress_unknown", {{"key", row.key}});
      continue;
    }
    auto progress = workflow::DecodeProgressRow(row.value);
    if (progress) {
      progress_[key->job].emplace(key->row, *std::move(progress));
    } else {
      SetAside(key->job, progress.last_reason());
    }
  }
}

void coordinator_host::SetAside(const std::string& id, const reason& why) {
  // Its tasks may be running or done, so the job must not start again.
  unreadable_.insert(id);
  hooks_.log("job_set_aside", {{"job", id}, {"reason", why.detail}});
}

void coordinator_host::FollowJobs() {
  store::follower_options options;
  options.prefix = kJobPrefix;
  options.scan_prefixes = DigitPrefixes(kJobPrefix);
  options.wait = kJobsWait;
  store::table_follower::hooks to;
  to.table = hooks_.table;
  to.after = [this](millis wait, const std::function<void()>& then) {
    CallAfter(wait, then);
  };
  to.scanned = [this](const std::vector<store::row>& rows) {
    AddRows(rows);
    jobs_read_ = true;
    if (progress_read_) {
      FinishRecovery();
    }
  };
  to.changed = [this](const std::vector<store::row_change>& changes) {
    std::vector<store::row> rows;
    for (const auto& change : changes) {
      if (!change.removed) {
        rows.push_back(change.now);
      }
    }
    AddRows(rows);
    Pump();
  };
  to.clock = hooks_.clock;
  to.confirmed = [this](boot_time as_of) { jobs_as_of_ = as_of; };
  to.lost = [this](const reason& why) {
    hooks_.log("jobs_watch_lost", {{"reason", why.code}});
  };
  to.regained = [this] { hooks_.log("jobs_watch_regained", {}); };
  jobs_ = store::table_follower::Make(options, std::move(to));
}

void coordinator_host::AddRows(const std::vector<store::row>& rows) {
  if (!progress_read_) {
    waiting_rows_.insert(waiting_rows_.end(), rows.begin(), rows.end());
    return;
  }
  for (const auto& row : rows) {
    AddRow(row);
  }
}

void coordinator_host::FinishRecovery() {
  if (!recovered_) {
    recovered_ = true;
    ready_at_ = hooks_.clock();
    for (const auto& [id, rows] : std::exchange(progress_, {})) {
      if (unreadable_.contains(id)) {
        continue;  // Its other rows cannot be read; all are kept.
      }
      for (const auto& [number, row] : rows) {
        coordinator_->AddLeftoverProgress({id, number});
      }
    }
    leader_.ready = true;
    writer_->SetReady();
    hooks_.log("coordinator_ready",
               {{"epoch", std::to_string(leader_.epoch)},
                {"jobs", std::to_string(coordinator_->job_count())},
                {"ms", std::to_string(std::chrono::duration_cast<millis>(
                                          ready_at_ - gained_at_)
                                          .count())}});
    GreetMembers();
    SweepEndedJobs();
  }
  Pump();
}

void coordinator_host::SweepEndedJobs() {
  const uint64_t epoch = leader_.epoch;
  CallAfter(kSweepDelay, [this, epoch] {
    if (!coordinator_ || leader_.epoch != epoch) {
      return;
    }
    auto to = ScanHooks(kEndedPrefix);
    to.page = [this](const std::vector<store::row>& rows) {
      for (const auto& row : rows) {
        const std::string id = row.key.substr(sizeof(kEndedPrefix) - 1);
        const auto ended = workflow::DecodeEndedJob(row.value);
        if (ended) {
          coordinator_->AddEndedJob(id, *ended, hooks_.clock(),
                                    hooks_.unix_ms());
        } else {
          hooks_.log("ended_job_unreadable",
                     {{"job", id}, {"reason", ended.last_reason().detail}});
        }
      }
    };
    to.finished = [](uint64_t) {};
    for (const auto& prefix : DigitPrefixes(kEndedPrefix)) {
      store::scan_options options;
      options.prefix = prefix;
      options.retry_after = kSweepRetry;
      ended_scans_.push_back(store::table_scan::Make(std::move(options), to));
      ended_scans_.back()->Start();
    }
  });
}

void coordinator_host::Claim(const workflow::leader_row& row) {
  const auto now = hooks_.clock();
  if (row.released || row.address.empty() ||
      !workflow::IsFitter(options_.self, row.fitness, options_.succession) ||
      now - claimed_at_ < kClaimInterval) {
    return;
  }
  claimed_at_ = now;
  hooks_.log("role_claimed",
             {{"holder", row.holder},
              {"holder_fitness", std::to_string(row.fitness)},
              {"fitness", std::to_string(options_.self.fitness)}});
  net::asio::spawn(
      on_,
      [this, address = row.address](const net::yield& yield) {
        // An unanswered claim is repeated after a later look at the row.
        (void)CallPeer(peers_, address, kClaimPath,
                       workflow::EncodeCandidate(options_.self),
                       kGreetingTimeout, yield);
      },
      net::asio::detached);
}

void coordinator_host::OnClaim(const workflow::candidate& rival) {
  if (!writer_->holds() || !coordinator_) {
    return;
  }
  std::optional<millis> ready_for;
  if (recovered_) {
    ready_for = std::chrono::duration_cast<millis>(hooks_.clock() - ready_at_);
  }
  if (!workflow::ShouldHandOver(rival, options_.self.fitness, ready_for,
                                options_.succession)) {
    return;
  }
  successor_ = rival;
  HandOver();
}

bool coordinator_host::HandOver() {
  if (!successor_ || !writer_->holds() || writer_->busy()) {
    return false;
  }
  handed_to_ = std::exchange(successor_, std::nullopt);
  hooks_.log("role_handed_over",
             {{"successor", handed_to_->name},
              {"fitness", std::to_string(options_.self.fitness)},
              {"successor_fitness", std::to_string(handed_to_->fitness)}});
  writer_->HandOver(handed_to_->name);
  return true;
}

void coordinator_host::AddRow(const store::row& in) {
  // A job may be of a queue that has just been configured.
  AdoptOperatorState();
  const std::string_view prefix(kJobPrefix);
  std::string id = in.key.substr(prefix.size());
  const auto now = hooks_.clock();
  if (id.ends_with(kCancelSuffix)) {
    id.resize(id.size() - (sizeof(kCancelSuffix) - 1));
    if (coordinator_->FindJobView(id)) {
      coordinator_->CancelJob(id, now);
    } else {
      early_cancellations_.Add(id, in.version, now);
    }
    return;
  }
  const auto job = workflow::DecodeSubmission(in.value);
  if (!job) {
    hooks_.log("job_unreadable",
               {{"job", id}, {"reason", job.last_reason().detail}});
    progress_.erase(id);
    return;
  }
  if (unreadable_.contains(id)) {
    return;
  }
  std::optional<workflow::job_record> progress;
  if (const auto rows = progress_.extract(id)) {
    progress = workflow::MakeJobRecord(job->job);
    for (const auto& [number, row] : rows.mapped()) {
      if (const auto added = workflow::AddProgress(number, row, *progress);
          !added) {
        SetAside(id, added.last_reason());
        return;
      }
    }
  }
  early_cancellations_.Remove(id);  // It was submitted again.
  coordinator_->AddJob(id, *job, progress, now, hooks_.unix_ms());
}

void coordinator_host::GreetMembers() {
  store::scan_options options;
  options.prefix = kMemberPrefix;
  auto to = ScanHooks(kMemberPrefix);
  to.page = [this](const std::vector<store::row>& rows) {
    for (const auto& row : rows) {
      if (row.value != options_.self.address) {
        Greet(row.value);
      }
    }
  };
  to.finished = [](uint64_t) {};
  members_ = store::table_scan::Make(std::move(options), std::move(to));
  members_->Start();
}

void coordinator_host::Greet(const std::string& address) {
  net::asio::spawn(
      on_,
      [this, address](const net::yield& yield) {
        // A member that does not answer finds out by itself.
        (void)CallPeer(peers_, address, kLeaderPath,
                       workflow::EncodeLeaderRow(leader_), kGreetingTimeout,
                       yield);
      },
      net::asio::detached);
}

workflow::report_reply coordinator_host::OnReport(const workflow::report& in) {
  reported_at_ = hooks_.clock();
  auto out =
      coordinator_->OnReport(in, reported_at_, writer_->last_commit_sent_at());
  SchedulePump(kOnce);
  return out;
}

std::optional<workflow::job_view> coordinator_host::FindJobView(
    const std::string& id) const {
  return coordinator_->FindJobView(id);
}

std::optional<size_t> coordinator_host::PendingJobCount(
    const std::string& queue) const {
  if (hooks_.clock() - jobs_as_of_ > options_.coordinator.max_information_age) {
    return std::nullopt;
  }
  return coordinator_->PendingJobCount(queue);
}

workflow::job_room coordinator_host::JobRoom(
    const workflow::room_question& asked) {
  const auto now = hooks_.clock();
  std::erase_if(accepting_gateways_, [now](const auto& known) {
    return now - known.second > kGatewaySilent;
  });
  if (accepting_gateways_.size() < kMaxGateways) {
    accepting_gateways_[asked.gateway] = now;
  }
  workflow::job_room out;
  out.budget = options_.job_budget_bytes;
  out.held = coordinator_->held_bytes();
  out.held_for_queue = coordinator_->held_bytes(asked.queue);
  out.gateways = static_cast<uint32_t>(accepting_gateways_.size());
  out.age = std::chrono::duration_cast<millis>(now - jobs_as_of_);
  const auto& catalogue = hooks_.operators().state->catalogue;
  if (const auto* queue =
          catalogue ? workflow::FindQueue(*catalogue, asked.queue) : nullptr) {
    out.largest_vm = coordinator_->LargestVm(queue->service, now);
  }
  return out;
}

void coordinator_host::SchedulePump(millis delay) {
  const auto at = hooks_.clock() + delay;
  if (pump_scheduled_ && pump_at_ <= at) {
    return;
  }
  pump_scheduled_ = true;
  pump_at_ = at;
  pump_timer_.expires_after(delay);
  pump_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      pump_scheduled_ = false;
      Pump();
    }
  });
}

void coordinator_host::Pump() {
  if (!ready()) {
    return;
  }
  AdoptOperatorState();
  if (!adopted_->catalogue) {
    return;
  }
  const auto now = hooks_.clock();
  SendOrders();
  if (HandOver()) {
    return;
  }
  const auto news_age =
      std::chrono::duration_cast<millis>(now - informed_as_of_);
  LogNews(news_age);
  if (!writer_->holds() || writer_->busy() || commit_pacer::Yields(news_age)) {
    return;
  }
  if (now < pacer_.next()) {
    // Rounded up, so that the timer does not fire just before the time.
    SchedulePump(std::chrono::ceil<millis>(pacer_.next() - now));
    return;
  }
  coordinator_->Tick(now, hooks_.unix_ms());
  if (coordinator_->HasUncommitted()) {
    Commit();
  }
  SendOrders();
  pacer_.OnPass(now, hooks_.clock());
}

void coordinator_host::Commit() {
  const auto now = hooks_.clock();
  pacer_.OnCommit(now);
  std::vector<store::mutation> changes;
  for (auto& row : coordinator_->TakeBatch(now)) {
    changes.push_back({ToString(row.key), std::move(row.record)});
  }
  writer_->Write(std::move(changes), [this, now](write_status status) {
    if (!coordinator_) {
      return;
    }
    if (status == write_status::kCommitted) {
      metrics_.Observe(
          "chiveglade_commit_seconds", {},
          std::chrono::duration<double>(hooks_.clock() - now).count());
      coordinator_->OnCommitted(hooks_.clock());
      Pump();
      return;
    }
    coordinator_->OnNotCommitted();
    pacer_.Pause(hooks_.clock(), kReadRetry);
  });
}

void coordinator_host::WriteEnded() {
  if (!ready() || writing_ended_) {
    return;
  }
  const auto batch = coordinator_->TakeEnded(hooks_.clock(), kMaxEndedPerWrite);
  if (batch.empty()) {
    return;
  }
  writing_ended_ = true;
  store::transaction change;
  for (const auto& [id, ended] : batch.ends) {
    workflow::AppendEnd(id, ended, change.mutations);
  }
  for (const auto& id : batch.forgets) {
    workflow::AppendForget(id, change.mutations);
  }
  hooks_.table.commit(
      std::move(change), [this, batch, epoch = leader_.epoch](
                             const store::commit_outcome& outcome) {
        writing_ended_ = false;
        if (outcome.status == store::commit_status::kCommitted &&
            coordinator_ && leader_.epoch == epoch) {
          coordinator_->OnEndedWritten(batch);
        } else if (outcome.status != store::commit_status::kCommitted) {
          // The same jobs are written again in the next round.
          hooks_.log("ended_not_written",
                     {{"jobs", std::to_string(batch.ends.size())},
                      {"reason", outcome.why.detail}});
        }
      });
}

void coordinator_host::DeleteEarlyCancellations() {
  if (!ready() || deleting_cancellations_) {
    return;
  }
  auto change = early_cancellations_.TakeExpired(hooks_.clock(),
                                                 kMaxCancellationsPerWrite);
  if (change.mutations.empty()) {
    return;
  }
  deleting_cancellations_ = true;
  const size_t rows = change.mutations.size();
  hooks_.table.commit(
      std::move(change), [this, rows, epoch = leader_.epoch](
                             const store::commit_outcome& outcome) {
        deleting_cancellations_ = false;
        if (!coordinator_ || leader_.epoch != epoch) {
          return;
        }
        if (outcome.status == store::commit_status::kCommitted) {
          early_cancellations_.OnDeleted();
          return;
        }
        // The rest is deleted in the next round.
        early_cancellations_.OnNotDeleted(outcome.conflicting_key);
        hooks_.log("cancellations_not_deleted",
                   {{"rows", std::to_string(rows)},
                    {"conflict", outcome.conflicting_key},
                    {"reason", outcome.why.detail}});
      });
}

void coordinator_host::SendOrders() {
  for (const auto& next : coordinator_->TakeOrders(hooks_.clock())) {
    Send(next);
  }
}

void coordinator_host::Send(
    const workflow::coordinator::addressed_orders& next) {
  net::asio::spawn(
      on_,
      [this, vm = next.vm, address = next.address, epoch = next.message.epoch,
       body = workflow::Encode(next.message)](const net::yield& yield) {
        const auto reply =
            CallPeer(peers_, address, kOrdersPath, body, kOrdersTimeout, yield);
        if (!coordinator_ || leader_.epoch != epoch) {
          return;
        }
        if (reply && reply->status == 200) {
          coordinator_->OnOrdersDelivered(vm);
        } else {
          hooks_.log(
              "orders_lost",
              {{"vm", vm},
               {"reason", reply ? "status_" + std::to_string(reply->status)
                                : reply.last_reason().code}});
          coordinator_->OnOrdersNotDelivered(vm, hooks_.clock());
        }
      },
      net::asio::detached);
}

void coordinator_host::UpdateGauges() {
  metrics_.Set("chiveglade_coordinator", {}, ready() ? 1 : 0);
  metrics_.Set("chiveglade_coordinator_epoch", {},
               static_cast<double>(leader_.epoch));
  if (!ready()) {
    return;
  }
  metrics_.Set("chiveglade_jobs_active", {},
               static_cast<double>(coordinator_->job_count()));
  metrics_.Set("chiveglade_job_memory_bytes", {},
               static_cast<double>(coordinator_->held_bytes()));
  metrics_.Set("chiveglade_jobs_yielding", {},
               static_cast<double>(coordinator_->yielding_job_count()));
  metrics_.Set("chiveglade_latency_limit", {},
               coordinator_->mean_latency_limit());
  metrics_.Set("chiveglade_interference_pairs", {},
               static_cast<double>(coordinator_->known_pairs()));
  const auto& counters = coordinator_->counters();
  for (const auto& [outcome, value] : {std::pair{"started", counters.starts},
                                       {"done", counters.done},
                                       {"failed", counters.failed},
                                       {"lost", counters.interrupted},
                                       {"refused", counters.refused},
                                       {"hung", counters.hung}}) {
    metrics_.Set("chiveglade_runs", {{"outcome", outcome}},
                 static_cast<double>(value));
  }
  for (const auto& [reason, limit] :
       {std::pair{"room", workflow::placement_limit::kRoom},
        {"processors", workflow::placement_limit::kProcessors},
        {"latency", workflow::placement_limit::kLatency},
        {"peak_latency", workflow::placement_limit::kPeakLatency}}) {
    metrics_.Set(
        "chiveglade_vms_refused", {{"reason", reason}},
        static_cast<double>(counters.vms_refused[static_cast<size_t>(limit)]));
  }
  for (size_t i = 0; i < counters.jobs_idle.size(); ++i) {
    metrics_.Set("chiveglade_jobs_idle",
                 {{"reason", ToString(static_cast<workflow::idle_reason>(i))}},
                 static_cast<double>(counters.jobs_idle[i]));
  }
  for (const auto& [condition, at] :
       {std::pair{"alone", workflow::own_load_condition::kAlone},
        {"beside", workflow::own_load_condition::kBeside},
        {"after_end", workflow::own_load_condition::kAfterEnd}}) {
    const auto i = static_cast<size_t>(at);
    metrics_.Set("chiveglade_own_load_samples", {{"condition", condition}},
                 static_cast<double>(counters.own_load_samples[i]));
    metrics_.Set("chiveglade_own_load_sum", {{"condition", condition}},
                 counters.own_load_sums[i]);
  }
}

}  // namespace chiveglade::app
