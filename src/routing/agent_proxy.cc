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

// How often waiting requests are checked against their deadlines.
constexpr millis kQueueTick{10};

// One service with a replica here.
struct served {
  std::shared_ptr<class_queue> queue;
  std::shared_ptr<worker_connection_pool> pool;
  queue_options options;
};

// A grant of a class_queue, given back at the end.
class held_slot {
 public:
  held_slot(std::shared_ptr<class_queue> queue, class_queue::ticket ticket)
      : queue_(std::move(queue)), ticket_(ticket) {}
  ~held_slot() { queue_->Finish(ticket_, took_); }
  held_slot(const held_slot&) = delete;
  held_slot& operator=(const held_slot&) = delete;

  void SetTook(std::chrono::microseconds took) { took_ = took; }

 private:
  std::shared_ptr<class_queue> queue_;
  class_queue::ticket ticket_;
  std::optional<std::chrono::microseconds> took_;
};

struct grant {
  class_queue::ticket ticket = 0;
  reason why;  // empty code: granted
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
      // A replica is announced before its first request.
      if (const auto at = Find(spec.name); at.queue) {
        out.push_back(LoadOf(spec.name, at.queue->load()));
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
      Refuse(stream, record, {"bad_target", "not a path of a replica"}, yield);
      return;
    }
    const auto service = Find(record.service);
    if (!service.queue) {
      Refuse(stream, record, {"no_replica", "no replica runs here"}, yield);
      return;
    }
    const auto left =
        ParseDecimalHeader(net::FindHeader(fields, kDeadlineHeader));
    const boot_time deadline = arrived + millis(left.value_or(0));
    const auto got = WaitFor<grant>(yield, [&](auto then) {
      service.queue->Enqueue(
          record.klass, deadline,
          [then](class_queue::ticket ticket, const result<done>& granted) {
            then({ticket, granted ? reason() : granted.last_reason()});
          });
    });
    record.queued = hooks_.clock() - arrived;
    if (!got.why.code.empty()) {
      Refuse(stream, record, got.why, yield);
      return;
    }
    Forward(stream, service, got.ticket, deadline, record, yield);
  }

  void Forward(const net::h2_stream_ptr& stream,
               const served& service,
               class_queue::ticket ticket,
               boot_time deadline,
               proxy_record& record,
               const net::yield& yield) {
    const auto started = std::chrono::steady_clock::now();
    worker_exchange::report ended;
    {
      held_slot slot(service.queue, ticket);
      const auto& queue = service.queue;
      worker_exchange exchange(
          options_, hooks_.clock, *service.pool, stream, deadline,
          {[queue] { return WriteLoadHeader(LoadOf("", queue->load())); },
           [queue, ticket] { queue->ReleaseSlot(ticket); },
           [&](const worker_exchange::report& why, const net::yield& inner) {
             Answer(stream, why.ran, {why.code, why.detail}, service, inner);
           }});
      ended = exchange.Run(yield);
      if (ended.code.empty()) {
        slot.SetTook(std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now() - started));
      }
    }
    record.ran = ended.ran;
    record.code = ended.code;
  }

  void Refuse(const net::h2_stream_ptr& stream,
              proxy_record& record,
              const reason& why,
              const net::yield& yield) {
    record.ran = verdict::kNotRun;
    record.code = why.code;
    Answer(stream, verdict::kNotRun, why, Find(record.service), yield);
  }

  // Tells the entry what became of a request that has no answer.
  static void Answer(const net::h2_stream_ptr& stream,
                     verdict ran,
                     const reason& why,
                     const served& service,
                     const net::yield& yield) {
    const auto id =
        net::FindHeader(stream->request_headers(), kRequestIdHeader);
    net::header_list fields = {
        {":status", ran == verdict::kNotRun ? "503" : "502"},
        {std::string(kVerdictHeader), std::string(ToString(ran))},
        {std::string(kReasonHeader), why.code},
        {std::string(kRequestIdHeader), std::string(id)}};
    if (service.queue) {
      fields.emplace_back(kLoadHeader,
                          WriteLoadHeader(LoadOf("", service.queue->load())));
    }
    (void)stream->WriteHeaders(fields, true, yield);
  }

  // The queue and the connections of a service that has a replica here; without
  // a queue if there is none.
  served Find(const std::string& service) {
    const uint32_t replicas = hooks_.replicas(service);
    const auto manifest = hooks_.manifest();
    const auto* spec =
        manifest ? config::FindService(*manifest, service) : nullptr;
    if (replicas == 0 || spec == nullptr) {
      return {};
    }
    queue_options wanted{spec->slots * replicas, spec->connections * replicas,
                         manifest->request_classes};
    served out;
    bool changed = false;
    {
      const std::lock_guard lock(mutex_);
      served& at = served_[service];
      if (!at.queue) {
        auto made = class_queue::Make(wanted, hooks_.clock);
        if (!made) {
          served_.erase(service);
          return {};
        }
        at = {*made,
              std::make_shared<worker_connection_pool>(options_, hooks_.clock),
              wanted};
      }
      changed = at.options != wanted;
      at.options = wanted;
      out = at;
    }
    if (changed) {
      out.queue->Reconfigure(std::move(wanted));
    }
    return out;
  }

  void ScheduleTick() {
    tick_.expires_after(kQueueTick);
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
    for (const auto& [name, each] : served_) {
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
  std::atomic<uint32_t> active_{0};
  mutable std::mutex mutex_;  // guards what follows; outside the queues' locks
  std::map<std::string, served> served_;
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
