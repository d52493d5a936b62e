#include "checkpoint_store.h"

#include <nlohmann/json.hpp>

namespace chiveglade::standin {

namespace {

constexpr millis kTimeout{2'000};
constexpr int kNotFound = 404;
constexpr int kFirstRedirect = 300;

}  // namespace

checkpoint_store::checkpoint_store(net::asio::io_context& loop,
                                   const std::optional<config::endpoint>& at) {
  if (at) {
    net::http_client_options options;
    options.answer_timeout = kTimeout;
    client_ = net::http_client::Make(loop, at->ip, at->port, options);
  }
}

std::optional<millis> checkpoint_store::Run(const checkpoint_job& job,
                                            const net::yield& yield) {
  return job.read ? Read(job, yield) : Write(job, yield);
}

std::optional<millis> checkpoint_store::Write(const checkpoint_job& job,
                                              const net::yield& yield) {
  const auto body = nlohmann::json{{"work_done_ms", job.work.count()}}.dump();
  if (!client_) {
    objects_[job.key] = body;
    return job.work;
  }
  net::http_request request;
  request.method = "PUT";
  request.target = "/objects/" + job.key;
  request.body = body;
  const auto answer = client_->Send(request, yield);
  if (!answer.reply || answer.reply->status >= kFirstRedirect) {
    return std::nullopt;
  }
  return job.work;
}

std::optional<millis> checkpoint_store::Read(const checkpoint_job& job,
                                             const net::yield& yield) {
  std::string body;
  if (!client_) {
    body = objects_[job.key];
  } else {
    net::http_request request;
    request.target = "/objects/" + job.key;
    const auto answer = client_->Send(request, yield);
    if (!answer.reply || (answer.reply->status >= kFirstRedirect &&
                          answer.reply->status != kNotFound)) {
      return std::nullopt;
    }
    body = answer.reply->body;
  }
  // Without a readable checkpoint the task begins anew.
  const auto json = nlohmann::json::parse(body, nullptr, false);
  return millis(json.is_object() ? json.value("work_done_ms", int64_t{0}) : 0);
}

}  // namespace chiveglade::standin
