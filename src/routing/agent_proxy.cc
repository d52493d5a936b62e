#include "chiveglade/routing/agent_proxy.h"

#include <atomic>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

#include "callback_wait.h"
#include "chiveglade/routing/class_queue.h"
#include "chiveglade/routing/load_header.h"
#include "chiveglade/routing/route_table.h"
#include "http_fields.h"
#include "worker_connection_pool.h"
#include "worker_exchange.h"

namespace chiveglade::routing {

namespace {

// How often queued requests are checked against their deadlines.
constexpr millis kQueueTickInterval{10};

// The queue and the worker connections of one service with a replica on this
// VM.
struct service_state {
  std::shared_ptr<class_queue> queue;
  std::shared_ptr<worker_connection_pool> pool;
  queue_options options;  // last applied to `queue`
};

// Returns a granted slot and connection to the class_queue when destroyed.
class granted_slot {
 public:
  granted_slot(std::shared_ptr<class_queue> queue, class_queue::ticket ticket)
      : queue_(std::move(queue)), ticket_(ticket) {}
  ~granted_slot() { queue_->Finish(ticket_, service_time_); }
  granted_slot(const granted_slot&) = delete;
  granted_slot& operator=(const granted_slot&) = delete;

  // Sets how long the replica took. Only complete responses count towards the
  // queue's latency.
  void SetServiceTime(std::chrono::microseconds took) { service_time_ = took; }

 private:
  std::shared_ptr<class_queue> queue_;
  class_queue::ticket ticket_;
  std::optional<std::chrono::microseconds> service_time_;
};

// What the class_queue decided about one request.
struct grant_result {
  class_queue::ticket ticket = 0;
  reason why;  // of a refusal; its code is empty if granted
};

state::target_load LoadOf(const std::string& service, const queue_load& load) {
  return {service, load.slots, load.in_use, load.queued,
          static_cast<uint32_t>(load.latency.count())};
}

class proxy : public agent_proxy, public std::enable_shared_from_this<proxy> {
 public:
  proxy(net::asio::io_context& loop, proxy_options options, proxy_hooks hooks)
      : options_(std::move(options)), hooks_(std::move(hooks)), tick_(loop) {}

  void Start() { ScheduleTick(); }

  net::h2_handler Handler() override {
    return [self = shared_from_this()](const net::h2_stream_ptr& stream,
                                       const net::yield& yield) {
      self->Handle(stream, yield);
    };
  }

  void Handle(const net::h2_stream_ptr& stream,
              const net::yield& yield) override {
    ++active_;
    const boot_time arrived = hooks_.clock();
    proxy_record record;
    record.service = net::FindHeader(stream->request_headers(), kServiceHeader);
    record.klass = net::FindHeader(stream->request_headers(), kClassHeader);
    Serve(stream, arrived, record, yield);
    record.latency = hooks_.clock() - arrived;
    if (hooks_.record) {
      hooks_.record(record);
    }
    --active_;
    CheckDrained();
  }

  std::vector<state::target_load> Load() override {
    std::vector<state::target_load> out;
    const auto manifest = hooks_.manifest();
    if (!manifest) {
      return out;
    }
    for (const auto& spec : manifest->services) {
      // Services without a request so far are reported too, so that entries
      // learn of new replicas.
      if (const auto state = GetServiceState(spec.name); state.queue) {
        out.push_back(LoadOf(spec.name, state.queue->load()));
      }
    }
    return out;
  }

  void Drain(std::function<void()> drained) override {
    {
      const std::lock_guard lock(mutex_);
      drained_ = std::move(drained);
    }
    leaving_ = true;
    CheckDrained();
  }

 private:
  void Serve(const net::h2_stream_ptr& stream,
             boot_time arrived,
             proxy_record& record,
             const net::yield& yield) {
    const auto& fields = stream->request_headers();
    const auto target = net::FindHeader(fields, ":path");
    if (leaving_) {
      Refuse(stream, record, {"leaving", "the VM is leaving"}, yield);
      return;
    }
    if (hooks_.in_service && !hooks_.in_service()) {
      Refuse(stream, record, {"out_of_service", "the VM is out of service"},
             yield);
      return;
    }
    if (!PathOf(target) || IsControlPath(target)) {
      Refuse(stream, record, {"bad_target", "the path is invalid or reserved"},
             yield);
      return;
    }
    const auto service = GetServiceState(record.service);
    if (!service.queue) {
      Refuse(stream, record,
             {"no_replica", "no replica of the service runs on this VM"},
             yield);
      return;
    }
    const auto time_left_ms =
        ParseDecimalHeader(net::FindHeader(fields, kDeadlineHeader));
    const boot_time deadline = arrived + millis(time_left_ms.value_or(0));
    const auto granted = WaitFor<grant_result>(yield, [&](auto then) {
      service.queue->Enqueue(
          record.klass, deadline,
          [then](class_queue::ticket ticket, const result<done>& decision) {
            then({ticket, decision ? reason() : decision.last_reason()});
          });
    });
    record.queued = hooks_.clock() - arrived;
    if (!granted.why.code.empty()) {
      Refuse(stream, record, granted.why, yield);
      return;
    }
    Forward(stream, service, granted.ticket, deadline, record, yield);
  }

  void Forward(const net::h2_stream_ptr& stream,
               const service_state& service,
               class_queue::ticket ticket,
               boot_time deadline,
               proxy_record& record,
               const net::yield& yield) {
    const auto started = std::chrono::steady_clock::now();
    worker_exchange::report ended;
    {
      granted_slot slot(service.queue, ticket);
      const auto& queue = service.queue;
      worker_exchange exchange(
          options_, hooks_.clock, *service.pool, stream, deadline,
          {[queue] { return WriteLoadHeader(LoadOf("", queue->load())); },
           [queue, ticket] { queue->ReleaseSlot(ticket); },
           [&](const worker_exchange::report& why, const net::yield& inner) {
             SendRefusal(stream, why.ran, {why.code, why.detail}, service,
                         inner);
           }});
      ended = exchange.Run(yield);
      if (ended.code.empty()) {
        slot.SetServiceTime(
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now() - started));
      }
    }
    record.execution = ended.ran;
    record.code = ended.code;
  }

  void Refuse(const net::h2_stream_ptr& stream,
              proxy_record& record,
              const reason& why,
              const net::yield& yield) {
    record.execution = verdict::kNotRun;
    record.code = why.code;
    SendRefusal(stream, verdict::kNotRun, why, GetServiceState(record.service),
                yield);
  }

  // Sends the verdict and the reason to the entry for a request without a
  // response of the worker.
  static void SendRefusal(const net::h2_stream_ptr& stream,
                          verdict execution,
                          const reason& why,
                          const service_state& service,
                          const net::yield& yield) {
    const auto id =
        net::FindHeader(stream->request_headers(), kRequestIdHeader);
    net::header_list fields = {
        {":status", execution == verdict::kNotRun ? "503" : "502"},
        {std::string(kVerdictHeader), std::string(ToString(execution))},
        {std::string(kReasonHeader), why.code},
        {std::string(kRequestIdHeader), std::string(id)}};
    if (service.queue) {
      fields.emplace_back(kLoadHeader,
                          WriteLoadHeader(LoadOf("", service.queue->load())));
    }
    (void)stream->WriteHeaders(fields, true, yield);
  }

  // Returns the state of a service with a replica on this VM, created at the
  // first call and adjusted to the manifest and the number of replicas. Its
  // queue is null if the service has no replica here.
  service_state GetServiceState(const std::string& service) {
    const uint32_t replicas = hooks_.replicas(service);
    const auto manifest = hooks_.manifest();
    const auto* spec =
        manifest ? config::FindService(*manifest, service) : nullptr;
    if (replicas == 0 || spec == nullptr) {
      return {};
    }
    queue_options wanted{spec->slots * replicas, spec->connections * replicas,
                         manifest->request_classes};
    service_state out;
    bool changed = false;
    {
      const std::lock_guard lock(mutex_);
      service_state& state = services_[service];
      if (!state.queue) {
        auto made = class_queue::Make(wanted, hooks_.clock);
        if (!made) {
          services_.erase(service);
          return {};
        }
        state = {
            *made,
            std::make_shared<worker_connection_pool>(options_, hooks_.clock),
            wanted};
      }
      changed = state.options != wanted;
      state.options = wanted;
      out = state;
    }
    if (changed) {
      out.queue->Reconfigure(std::move(wanted));
    }
    return out;
  }

  void ScheduleTick() {
    tick_.expires_after(kQueueTickInterval);
    tick_.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (error || !self) {
            return;
          }
          for (const auto& queue : self->Queues()) {
            queue->Tick();
          }
          self->ScheduleTick();
        });
  }

  std::vector<std::shared_ptr<class_queue>> Queues() const {
    std::vector<std::shared_ptr<class_queue>> out;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, each] : services_) {
      out.push_back(each.queue);
    }
    return out;
  }

  void CheckDrained() {
    std::function<void()> call;
    if (leaving_ && active_ == 0) {
      const std::lock_guard lock(mutex_);
      call.swap(drained_);
    }
    if (call) {
      call();
    }
  }

  const proxy_options options_;
  const proxy_hooks hooks_;
  net::asio::steady_timer tick_;
  std::atomic<bool> leaving_{false};
  std::atomic<uint32_t> active_{0};  // streams in Handle
  // Guards the members below. Never held together with a queue's lock.
  mutable std::mutex mutex_;
  std::map<std::string, service_state> services_;
  std::function<void()> drained_;
};

}  // namespace

result<std::shared_ptr<agent_proxy>> agent_proxy::Make(
    net::asio::io_context& loop,
    proxy_options options,
    proxy_hooks hooks) {
  boost::system::error_code error;
  boost::asio::ip::make_address(options.worker.ip, error);
  if (error) {
    return reason{"bad_worker", options.worker.ip + " is not an IP address"};
  }
  auto out =
      std::make_shared<proxy>(loop, std::move(options), std::move(hooks));
  out->Start();
  return std::shared_ptr<agent_proxy>(std::move(out));
}

}  // namespace chiveglade::routing
