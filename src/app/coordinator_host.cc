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
  writing.name = options_.name;
  writing.address = options_.address;
  writing.lease = options_.lease;
  workflow::fenced_writer::hooks to;
  to.table = hooks_.table;
  to.clock = hooks_.clock;
  to.random = hooks_.random;
  to.gained = [this](uint64_t epoch) { OnGained(epoch); };
  to.lost = [this](const char* why) { OnLost(why); };
  to.other_holder_seen = [this](const workflow::leader_row& row) {
    OnLeader(row);
  };
  writer_ = std::make_unique<workflow::fenced_writer>(writing, std::move(to));
}

void coordinator_host::Start() {
  RunEvery(on_, kTickInterval, [this] {
    writer_->Tick();
    Pump();
  });
}

void coordinator_host::AdoptOperatorState() {
  auto newest = hooks_.operators();
  if (newest == adopted_) {
    return;
  }
  adopted_ = std::move(newest);
  if (adopted_->catalogue) {
    coordinator_->SetCatalogue(*adopted_->catalogue);
  }
  coordinator_->SetOutOfService(adopted_->out_of_service);
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
  leader_ = {epoch, options_.name, options_.address, "", false};
  auto options = options_.coordinator;
  options.epoch = epoch;
  options.address = options_.address;
  options.log = hooks_.log;
  coordinator_ = std::make_unique<workflow::coordinator>(std::move(options));
  adopted_.reset();
  AdoptOperatorState();
  recovered_ = false;
  progress_.clear();
  ReadProgress("");
}

void coordinator_host::OnLost(const char* why) {
  hooks_.log("coordinator_lost",
             {{"epoch", std::to_string(leader_.epoch)}, {"reason", why}});
  jobs_.reset();
  coordinator_.reset();
  recovered_ = false;
}

void coordinator_host::ReadProgress(const std::string& after) {
  const uint64_t epoch = leader_.epoch;
  hooks_.table.page(kProgressPrefix, after, [this, after, epoch](auto page) {
    if (!coordinator_ || leader_.epoch != epoch) {
      return;
    }
    if (!page) {
      auto timer = std::make_shared<net::asio::steady_timer>(on_, kReadRetry);
      timer->async_wait(
          [this, timer, after, epoch](const boost::system::error_code&) {
            if (coordinator_ && leader_.epoch == epoch) {
              ReadProgress(after);
            }
          });
      return;
    }
    const std::string_view prefix(kProgressPrefix);
    for (const auto& row : page->rows) {
      auto record = workflow::DecodeRecord(row.value);
      if (!record) {
        hooks_.log("record_unreadable",
                   {{"key", row.key}, {"reason", record.last_reason().detail}});
        continue;
      }
      progress_.emplace(row.key.substr(prefix.size()), *std::move(record));
    }
    if (page->more && !page->rows.empty()) {
      ReadProgress(page->rows.back().key);
    } else {
      FollowJobs();
    }
  });
}

void coordinator_host::FollowJobs() {
  store::follower_options options;
  options.prefix = kJobPrefix;
  store::table_follower::hooks to;
  to.table = hooks_.table;
  to.after = [this](millis wait, const std::function<void()>& then) {
    auto timer = std::make_shared<net::asio::steady_timer>(on_, wait);
    timer->async_wait(
        [timer, then](const boost::system::error_code&) { then(); });
  };
  to.scanned = [this](const std::vector<store::row>& rows) { AddRows(rows); };
  to.changed = [this](const std::vector<store::row_change>& changes) {
    for (const auto& change : changes) {
      if (!change.removed) {
        AddRow(change.now);
      }
    }
    Pump();
  };
  to.lost = [this](const reason& why) {
    hooks_.log("jobs_watch_lost", {{"reason", why.code}});
  };
  to.regained = [this] { hooks_.log("jobs_watch_regained", {}); };
  jobs_ = store::table_follower::Make(options, std::move(to));
}

void coordinator_host::AddRows(const std::vector<store::row>& rows) {
  for (const auto& row : rows) {
    AddRow(row);
  }
  if (!recovered_) {
    recovered_ = true;
    progress_.clear();
    hooks_.log("coordinator_ready",
               {{"epoch", std::to_string(leader_.epoch)},
                {"jobs", std::to_string(coordinator_->job_count())}});
    GreetMembers();
  }
  Pump();
}

void coordinator_host::AddRow(const store::row& in) {
  // A job may be of a queue that has just been configured.
  AdoptOperatorState();
  const std::string_view prefix(kJobPrefix);
  std::string id = in.key.substr(prefix.size());
  const auto now = hooks_.clock();
  if (id.ends_with(kCancelSuffix)) {
    id.resize(id.size() - (sizeof(kCancelSuffix) - 1));
    coordinator_->CancelJob(id, now);
    return;
  }
  const auto job = workflow::DecodeSubmission(in.value);
  if (!job) {
    hooks_.log("job_unreadable",
               {{"job", id}, {"reason", job.last_reason().detail}});
    return;
  }
  std::optional<workflow::job_record> progress;
  if (const auto at = progress_.find(id); at != progress_.end()) {
    progress = std::move(at->second);
  }
  coordinator_->AddJob(id, *job, progress, now, hooks_.unix_ms());
}

void coordinator_host::GreetMembers() {
  const uint64_t epoch = leader_.epoch;
  hooks_.table.page(kMemberPrefix, "", [this, epoch](auto page) {
    if (!page || leader_.epoch != epoch) {
      return;  // Members find the coordinator by the leader row as well.
    }
    for (const auto& row : page->rows) {
      if (row.value != options_.address) {
        Greet(row.value);
      }
    }
  });
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
  const auto out =
      coordinator_->OnReport(in, reported_at_, writer_->last_commit_sent_at());
  SchedulePump(kOnce);
  return out;
}

std::optional<workflow::job_view> coordinator_host::FindJobView(
    const std::string& id) const {
  return coordinator_->FindJobView(id);
}

size_t coordinator_host::PendingJobCount(const std::string& queue) const {
  return coordinator_->PendingJobCount(queue);
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
  if (!writer_->holds() || writer_->busy()) {
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
    changes.push_back({kProgressPrefix + row.job, row.record});
    if (!row.record) {
      changes.push_back({kJobPrefix + row.job, std::nullopt});
      changes.push_back({kJobPrefix + row.job + kCancelSuffix, std::nullopt});
    }
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

void coordinator_host::SendOrders() {
  for (const auto& next : coordinator_->TakeOrders(hooks_.clock())) {
    Send(next);
  }
}

void coordinator_host::Send(
    const workflow::coordinator::addressed_orders& next) {
  net::asio::spawn(
      on_,
      [this, vm = next.vm, address = next.address,
       body = workflow::Encode(next.message)](const net::yield& yield) {
        const auto reply =
            CallPeer(peers_, address, kOrdersPath, body, kOrdersTimeout, yield);
        if (!reply && coordinator_) {
          hooks_.log("orders_lost",
                     {{"vm", vm}, {"reason", reply.last_reason().code}});
          coordinator_->OnOrdersNotDelivered(vm);
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
}

}  // namespace chiveglade::app
