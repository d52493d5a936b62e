// The complete request path over sockets and threads: request_front, HTTP/2,
// agents and a worker.
#ifndef CHIVEGLADE_TESTS_ROUTING_REQUEST_PATH_H_
#define CHIVEGLADE_TESTS_ROUTING_REQUEST_PATH_H_

#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "chiveglade/net/h2_server.h"
#include "chiveglade/routing/agent_proxy.h"
#include "chiveglade/routing/request_front.h"
#include "tests/routing/example_manifest.h"
#include "tests/support/memory_store.h"
#include "tools/load/load_run.h"

namespace chiveglade::routing {

namespace asio = boost::asio;

// Responds with the request's ID and body, and counts the executions of each
// ID.
class echo_worker {
 public:
  using tcp = asio::ip::tcp;

  explicit echo_worker(asio::io_context& loop)
      : loop_(loop), acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  uint16_t port() { return acceptor_.local_endpoint().port(); }
  std::function<void(int)> on_count = [](int) {};
  std::atomic<bool> held{false};  // while true, responses are withheld
  std::map<std::string, int> executed() {
    const std::lock_guard lock(mutex_);
    return executed_;
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        asio::make_strand(loop_),
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          const auto strand = socket.get_executor();
          asio::spawn(
              strand,
              [this, kept = std::make_shared<tcp::socket>(std::move(socket))](
                  const net::yield& yield) { Serve(*kept, yield); },
              asio::detached);
          Accept();
        });
  }
  void Serve(tcp::socket& socket, const net::yield& yield) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (;;) {
      http::request<http::string_body> got;
      http::async_read(socket, buffer, got, yield[error]);
      if (error) {
        return;
      }
      const std::string id(got["chiveglade-request-id"]);
      int count = 0;
      {
        const std::lock_guard lock(mutex_);
        ++executed_[id];
        count = ++total_;
      }
      on_count(count);
      for (asio::steady_timer timer(socket.get_executor()); held;) {
        timer.expires_after(millis(1));
        timer.async_wait(yield[error]);
      }
      http::response<http::string_body> out{http::status::ok, 11};
      out.body() = id + " " + got.body();
      out.prepare_payload();
      http::async_write(socket, out, yield[error]);
    }
  }

  asio::io_context& loop_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::map<std::string, int> executed_;
  int total_ = 0;
};

// Wraps the store for use by several threads.
inline store::table_service Locked(testing::memory_store& in,
                                   std::mutex& mutex) {
  store::table_service out;
  out.read = [&](const std::string& key, const store::read_callback& then) {
    std::unique_lock lock(mutex);
    const auto found = in.Read(key);
    lock.unlock();
    then(found);
  };
  out.commit = [&](const store::transaction& change,
                   const store::commit_callback& then) {
    std::unique_lock lock(mutex);
    const auto outcome = in.Commit(change);
    lock.unlock();
    then(outcome);
  };
  return out;
}

struct path_fixture {
  struct vm {
    std::shared_ptr<agent_proxy> proxy;
    std::shared_ptr<net::h2_server> server;
    state::heartbeat heartbeat;
  };
  asio::io_context loop;
  echo_worker worker{loop};
  std::shared_ptr<const config::manifest> manifest;
  testing::memory_store rows;
  std::mutex rows_mutex;
  std::shared_ptr<target_directory> directory =
      *target_directory::Make({"east", millis(600'000)}, boot_clock::now);
  std::vector<vm> vms;
  std::shared_ptr<request_front> front;
  std::vector<std::thread> threads;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      loop.get_executor()};

  explicit path_fixture(uint32_t queue_limit = 64) {
    auto edited = ExampleManifest();
    edited.request_classes[0].queue_limit = queue_limit;
    edited.request_classes[0].deadline = millis(60'000);
    manifest = std::make_shared<const config::manifest>(edited);
    for (int i = 0; i < 3; ++i) {
      AddVm("vm" + std::to_string(i));
    }
    MakeFront();
    for (int i = 0; i < 2; ++i) {
      threads.emplace_back([this] { loop.run(); });
    }
  }
  ~path_fixture() {
    front->Stop();
    work.reset();
    loop.stop();
    for (auto& each : threads) {
      each.join();
    }
  }
  void AddVm(const std::string& name) {
    vm out;
    proxy_options options;
    options.worker = {"127.0.0.1", worker.port()};
    out.proxy = *agent_proxy::Make(loop, options,
                                   {[this] { return manifest; },
                                    [](const auto&) { return 1U; },
                                    {},
                                    {},
                                    boot_clock::now});
    out.server =
        *net::h2_server::Make(loop, "127.0.0.1", 0, {}, out.proxy->Handler());
    out.heartbeat.vm = {name, 1};
    out.heartbeat.data_centre = "east";
    out.heartbeat.address = "127.0.0.1:" + std::to_string(out.server->port());
    out.heartbeat.targets = out.proxy->Load();
    directory->OnHeartbeat(out.heartbeat);
    vms.push_back(std::move(out));
  }
  void MakeFront() {
    front_options options;
    options.entry = "e";
    options.listen = {"127.0.0.1", 0};
    front_hooks hooks;
    hooks.manifest = [this] { return manifest; };
    hooks.directory = directory;
    hooks.clock = boot_clock::now;
    hooks.random = [] {
      thread_local random_engine engine(9);
      return engine();
    };
    // Nonces must be unique across threads.
    auto nonce = std::make_shared<std::atomic<uint64_t>>(1);
    hooks.claims = claim_table::Make(
        {"e"},
        {Locked(rows, rows_mutex), boot_clock::now, [] { return int64_t{1}; },
         [nonce] { return (*nonce)++; },
         [this](millis wait, std::function<void()> then) {
           auto timer = std::make_shared<asio::steady_timer>(loop, wait);
           timer->async_wait([timer, then = std::move(then)](auto) { then(); });
         }});
    hooks.connect = [this](const config::endpoint& at) {
      return net::h2_client::Make(loop, at.ip, at.port, millis(1'000), {});
    };
    front = *request_front::Make(loop, options, hooks);
  }
  // Sends `count` requests of three kinds; one kind has idempotency keys.
  void Load(load::load_report& report, uint64_t count) {
    load::run_options options;
    options.targets = {{"127.0.0.1", front->port()}};
    options.connections = 12;
    options.length = millis(60'000);
    options.max_requests = count;
    options.body_has_id = true;
    options.requests = {{"GET", "/get"},
                        {"POST", "/post", "post", 40'000},
                        {"POST", "/book", "book", 200, true}};
    RunLoad(options, report);
  }
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_TESTS_ROUTING_REQUEST_PATH_H_
