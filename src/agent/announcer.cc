#include "chiveglade/agent/announcer.h"

#include <utility>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "chiveglade/state/heartbeat_codec.h"

namespace chiveglade::agent {

namespace {

namespace asio = net::asio;

// Longest time between two ticks of the core. It adds to the time by which a
// start or a stop is late.
constexpr millis kTickInterval{50};
constexpr millis kManifestInterval{1'000};

state::heartbeat WithoutReports(const state::heartbeat& full) {
  state::heartbeat out = full;
  out.partial = true;
  out.attempts.clear();
  out.ends.clear();
  return out;
}

}  // namespace

std::shared_ptr<announcer> announcer::Make(
    asio::io_context& loop,
    std::unique_ptr<agent_core> core,
    std::unique_ptr<heartbeat_schedule> schedule,
    announcer_hooks hooks,
    clock_fn clock) {
  return std::shared_ptr<announcer>(
      new announcer(loop, std::move(core), std::move(schedule),
                    std::move(hooks), std::move(clock)));
}

announcer::announcer(asio::io_context& loop,
                     std::unique_ptr<agent_core> core,
                     std::unique_ptr<heartbeat_schedule> schedule,
                     announcer_hooks hooks,
                     clock_fn clock)
    : strand_(asio::make_strand(loop)),
      timer_(strand_),
      core_(std::move(core)),
      schedule_(std::move(schedule)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      view_(std::make_shared<agent_view>()) {}

void announcer::Start() {
  asio::spawn(
      strand_,
      [self = shared_from_this()](const net::yield& yield) {
        self->Run(yield);
      },
      asio::detached);
}

void announcer::Run(const net::yield& yield) {
  while (!stopped_) {
    MakeCalls();
    SendHeartbeats();
    Publish();
    CheckLeft();
    timer_.expires_after(kTickInterval);
    boost::system::error_code cancelled;
    timer_.async_wait(yield[cancelled]);
  }
}

void announcer::Wake() {
  timer_.cancel();
}

void announcer::MakeCalls() {
  for (auto& call : core_->Tick()) {
    asio::spawn(
        strand_,
        [self = shared_from_this(), call = std::move(call)](
            const net::yield& yield) { self->CallWorker(call, yield); },
        asio::detached);
  }
}

void announcer::CallWorker(const worker_call& call, const net::yield& yield) {
  ++counters_.worker_calls;
  const auto reply = hooks_.call_worker(call, yield);
  if (reply.outcome.status != worker_call_status::kDone) {
    ++counters_.worker_call_failures;
  }
  if (reply.listing) {
    core_->OnWorkerBoot(reply.listing->boot);
    core_->OnWorkerTasks(reply.listing->tasks);
  } else {
    core_->OnWorkerCall(call, reply.outcome);
  }
  Wake();
}

void announcer::SendHeartbeats() {
  if (!core_->announces()) {
    return;
  }
  const auto due = schedule_->Due(clock_(), core_->wants_heartbeat());
  if (due.empty()) {
    return;
  }
  const auto full = std::make_shared<state::heartbeat>(core_->MakeHeartbeat());
  std::shared_ptr<state::heartbeat> partial;
  for (const auto& to : due) {
    if (!to.full && !partial) {
      partial = std::make_shared<state::heartbeat>(WithoutReports(*full));
    }
    asio::spawn(
        strand_,
        [self = shared_from_this(), address = to.address,
         beat = to.full ? full : partial](const net::yield& yield) {
          self->Send(address, *beat, yield);
        },
        asio::detached);
  }
}

void announcer::Send(const std::string& address,
                     const state::heartbeat& beat,
                     const net::yield& yield) {
  const auto body = state::EncodeHeartbeat(beat);
  ++counters_.heartbeats;
  counters_.bytes_sent += body.size();
  const auto answer = hooks_.send_heartbeat(address, body, yield);
  if (answer) {
    counters_.bytes_received += answer->size();
    TakeAnswer(address, beat, *answer);
  } else {
    ++counters_.heartbeat_failures;
    schedule_->OnFailure(address, clock_());
  }
  Wake();
}

void announcer::TakeAnswer(const std::string& address,
                           const state::heartbeat& beat,
                           const std::string& body) {
  const auto answer = state::DecodeAnswer(body);
  if (!answer) {
    ++counters_.heartbeat_failures;
    schedule_->OnFailure(address, clock_());
    return;
  }
  announced_ = true;
  core_->OnAnswer(beat, *answer);
  schedule_->OnAnswer(address, *answer, clock_());
  AskForManifest(address, answer->manifest_version);
}

void announcer::AskForManifest(const std::string& address, uint64_t version) {
  const auto now = clock_();
  if (version <= core_->manifest_version() || !hooks_.newer_manifest ||
      now < manifest_asked_ + kManifestInterval) {
    return;
  }
  manifest_asked_ = now;
  hooks_.newer_manifest(address, version);
}

void announcer::Leave(std::function<void()> announced) {
  asio::post(strand_, [self = shared_from_this(),
                       announced = std::move(announced)]() mutable {
    self->core_->Leave();
    self->schedule_->MakeAllDue(self->clock_());
    self->left_ = std::move(announced);
    self->Wake();
  });
}

void announcer::CheckLeft() {
  // Without the worker's boot id the VM was never announced.
  if (left_ && (!core_->announces() || schedule_->AllTold(clock_()))) {
    std::exchange(left_, nullptr)();
  }
}

void announcer::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    self->Wake();
  });
}

void announcer::SetManifest(uint64_t version,
                            std::shared_ptr<const config::manifest> manifest) {
  asio::post(strand_, [self = shared_from_this(), version,
                       manifest = std::move(manifest)] {
    self->core_->SetManifest(version, *manifest);
    self->Wake();
  });
}

void announcer::Publish() {
  agent_view next;
  next.announced = announced_;
  next.ready = core_->ready();
  next.leaving = core_->leaving();
  next.out_of_service = core_->out_of_service();
  next.manifest_version = core_->manifest_version();
  next.services = core_->running_services();
  next.scheduler = schedule_->scheduler();
  next.used = core_->used();
  next.unacknowledged_ends = core_->unacknowledged();
  if (*view_ == next) {  // only this strand replaces it
    return;
  }
  auto shared = std::make_shared<const agent_view>(std::move(next));
  const std::lock_guard lock(view_mutex_);
  view_ = std::move(shared);
}

std::shared_ptr<const agent_view> announcer::view() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

}  // namespace chiveglade::agent
