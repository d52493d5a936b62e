#include "tools/platform_standin/platform.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/store/base64.h"
#include "src/store/percent_encoding.h"
#include "src/store/table_codec.h"

namespace chiveglade::standin {

namespace {

using nlohmann::json;

// Mutations kept for GET /history; far above what a test run makes.
constexpr size_t kMaxHistory = 200'000;
constexpr uint64_t kMaxBodyBytes = 256UL * 1024 * 1024;
constexpr millis kHangPoll{10};
constexpr std::string_view kObjects = "/objects/";

net::http_reply Json(std::string body, int status = 200) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

net::http_reply BadMessage(const reason& why) {
  return net::MakeRefusal(400, verdict::kNotRun, why.code, why.detail);
}

// Closes the connection without an answer.
net::http_reply NoAnswer() {
  return {0, {}, ""};
}

void Wait(millis time, const net::yield& yield) {
  if (time.count() > 0) {
    boost::system::error_code ignored;
    net::asio::steady_timer timer(yield.get_executor(), time);
    timer.async_wait(yield[ignored]);
  }
}

bool IsRecorded(const std::string& key) {
  return key.rfind("dc/", 0) == 0 || key.rfind("manifest/", 0) == 0;
}

}  // namespace

result<std::shared_ptr<platform>> platform::Make(
    net::asio::io_context& loop,
    const platform_options& options,
    clock_fn clock) {
  const std::shared_ptr<platform> out(new platform(options, std::move(clock)));
  net::http_server_options limits;
  limits.max_body_bytes = kMaxBodyBytes;
  auto server =
      net::http_server::Make(loop, "127.0.0.1", options.port, limits,
                             [out = out.get()](const net::http_request& request,
                                               const net::yield& yield) {
                               return out->Handle(request, yield);
                             });
  if (!server) {
    return server.last_reason();
  }
  out->server_ = *std::move(server);
  return out;
}

platform::platform(const platform_options& options, clock_fn clock)
    : options_(options),
      clock_(std::move(clock)),
      faults_(options.faults),
      random_(options.faults.seed),
      table_writes_(options.writes_per_second, clock_),
      table_reads_(options.reads_per_second, clock_),
      object_writes_(options.writes_per_second, clock_),
      object_reads_(options.reads_per_second, clock_) {}

net::http_reply platform::Handle(const net::http_request& request,
                                 const net::yield& yield) {
  auto out = Route(request, yield);
  counts_["bytes_received"] += request.body.size();
  counts_["bytes_sent"] += out.body.size();
  return out;
}

net::http_reply platform::Route(const net::http_request& request,
                                const net::yield& yield) {
  const auto path = net::PathOf(request.target);
  const auto is = [&](std::string_view method, std::string_view wanted) {
    return request.method == method && path == wanted;
  };
  if (is("POST", "/read")) {
    const auto key = store::ParseReadRequest(request.body);
    return key ? WithFaults(
                     table_reads_, 1,
                     [&] {
                       ++counts_["reads"];
                       return Json(store::WriteReadAnswer(store_.Read(*key)));
                     },
                     yield)
               : BadMessage(key.last_reason());
  }
  if (is("POST", "/scan")) {
    const auto scan = store::ParseScanRequest(request.body);
    return scan ? WithFaults(
                      table_reads_, 1,
                      [&] {
                        ++counts_["scans"];
                        return Json(store::WriteScanAnswer(
                            store_.Scan(scan->prefix, scan->limit)));
                      },
                      yield)
                : BadMessage(scan.last_reason());
  }
  if (is("POST", "/commit")) {
    const auto change = store::ParseTransaction(request.body);
    return change ? WithFaults(
                        table_writes_,
                        std::max(1.0,
                                 static_cast<double>(change->mutations.size())),
                        [&] { return Commit(*change); }, yield)
                  : BadMessage(change.last_reason());
  }
  if (path.substr(0, kObjects.size()) == kObjects) {
    return RouteObject(request, yield);
  }
  if (is("POST", "/faults")) {
    return SetFaults(request.body);
  }
  if (is("GET", "/stats")) {
    return Json(Stats());
  }
  if (is("GET", "/history")) {
    return Json(History());
  }
  return net::MakeRefusal(404, verdict::kNotRun, "no_such_path",
                          "see platform.h for the paths");
}

net::http_reply platform::RouteObject(const net::http_request& request,
                                      const net::yield& yield) {
  const auto key =
      store::DecodePercent(net::PathOf(request.target).substr(kObjects.size()));
  if (!key || (request.method != "PUT" && request.method != "GET")) {
    return BadMessage({"bad_message", "not a PUT or GET of a valid key"});
  }
  if (request.method == "PUT") {
    return WithFaults(
        object_writes_, 1,
        [&]() -> net::http_reply {
          ++counts_["puts"];
          objects_[*key] = request.body;
          return {204, {}, ""};
        },
        yield);
  }
  return WithFaults(
      object_reads_, 1,
      [&]() -> net::http_reply {
        ++counts_["gets"];
        const auto at = objects_.find(*key);
        return at == objects_.end() ? net::MakeRefusal(404, verdict::kRan,
                                                       "no_such_object", *key)
                                    : net::http_reply{200, {}, at->second};
      },
      yield);
}

net::http_reply platform::WithFaults(rate_limit& limit,
                                     double amount,
                                     const call_fn& call,
                                     const net::yield& yield) {
  const auto delay = (options_.latency + faults_.slow) / 2;
  Wait(delay, yield);
  const bool hung = faults_.mode == outage::kHang;
  while (faults_.mode == outage::kHang) {
    Wait(kHangPoll, yield);
  }
  if (hung || Draw(faults_.lost_request_pct)) {
    ++counts_["lost_requests"];
    return NoAnswer();
  }
  if (faults_.mode == outage::kRefuse) {
    ++counts_["refused"];
    return net::MakeRefusal(503, verdict::kNotRun, "outage",
                            "the service is down");
  }
  if (!limit.Take(amount)) {
    ++counts_["rate_limited"];
    return net::MakeRefusal(429, verdict::kNotRun, "rate_limited",
                            "too many calls");
  }
  auto out = call();
  const bool lost = Draw(faults_.lost_answer_pct);
  Wait(delay, yield);
  if (lost) {
    ++counts_["lost_answers"];
    return NoAnswer();
  }
  return out;
}

net::http_reply platform::Commit(const store::transaction& change) {
  const auto outcome = store_.Commit(change);
  if (outcome.status == store::commit_status::kConflict) {
    ++counts_["conflicts"];
    return Json(store::WriteConflict(outcome.conflicting_key), 409);
  }
  Record(change, outcome.version);
  return Json(store::WriteCommitted(outcome.version));
}

void platform::Record(const store::transaction& change, uint64_t version) {
  for (const auto& one : change.mutations) {
    if (IsRecorded(one.key)) {
      history_.push_back(
          {one, version, clock_(), std::chrono::system_clock::now()});
    }
  }
  while (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
}

net::http_reply platform::SetFaults(const std::string& body) {
  const auto parsed = ParseFaults(body, faults_);
  if (!parsed) {
    return BadMessage(parsed.last_reason());
  }
  if (parsed->seed != faults_.seed) {
    random_.seed(parsed->seed);
  }
  faults_ = *parsed;
  return Json(WriteFaults(faults_));
}

std::string platform::Stats() const {
  json out(counts_);
  out["commits"] = store_.commits();
  out["rows_written"] = store_.rows_written();
  out["objects"] = objects_.size();
  for (const auto* name : {"reads", "scans", "conflicts", "puts", "gets",
                           "rate_limited", "refused", "lost_answers",
                           "lost_requests", "bytes_received", "bytes_sent"}) {
    out.emplace(name, 0);
  }
  return out.dump();
}

std::string platform::History() const {
  json commits = json::array();
  for (const auto& [change, version, at, at_utc] : history_) {
    commits.push_back(
        {{"key", change.key},
         {"value",
          change.value ? json(store::EncodeBase64(*change.value)) : json()},
         {"version", version},
         {"boot_ms", at.time_since_epoch().count()},
         {"unix_ms",
          std::chrono::duration_cast<millis>(at_utc.time_since_epoch())
              .count()}});
  }
  return json{{"commits", std::move(commits)}}.dump();
}

bool platform::Draw(uint32_t pct) {
  return pct > 0 && random_() % 100 < pct;
}

}  // namespace chiveglade::standin
