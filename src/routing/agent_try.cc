#include "agent_try.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "chiveglade/routing/load_header.h"
#include "http_fields.h"
#include "side_task.h"
#include "stream_deadline.h"

namespace chiveglade::routing {

namespace {

// Size of a read buffer for a body. Each open request has one for its response,
// and another while it uploads a long body.
constexpr size_t kReadBufferBytes = 16'384;

// Once a kept body has this size, no more of it is kept, so that memory use
// stays bounded. Must be above the size that a claim stores
// (max_response_body_bytes), so that the claim does not take a part for the
// whole.
constexpr size_t kMaxKeptBodyBytes = 65'536;

bool IsIn(std::string_view code, std::initializer_list<std::string_view> set) {
  return std::find(set.begin(), set.end(), code) != set.end();
}

}  // namespace

// Sends the request body while the response may already be arriving. A body
// that is too long to buffer is read from the caller meanwhile.
class agent_try::body_upload {
 public:
  body_upload(agent_try& owner, net::h2_stream_ptr stream)
      : owner_(owner), stream_(std::move(stream)) {}

  void Start(const net::yield& yield) {
    task_.Start(yield, [this](const net::yield& inner) { Run(inner); });
  }

  // Cancels the upload if the response ended before it, and waits for its
  // coroutine.
  void Stop(const net::yield& yield) {
    if (task_.running()) {
      stream_->Reset(net::h2_error::kCancel);
      if (owner_.request_.body_consumed) {
        owner_.caller_.CancelRead();
      }
    }
    task_.Join(yield);
  }

  bool caller_failed() const { return !failure_.code.empty(); }
  const reason& failure() const { return failure_; }

 private:
  void Run(const net::yield& yield) {
    const auto& prefix = owner_.request_.body;
    if (!stream_->Write(prefix, owner_.request_.body_whole, yield) ||
        owner_.request_.body_whole) {
      return;
    }
    owner_.request_.body_consumed = true;
    std::vector<char> buffer(kReadBufferBytes);
    for (;;) {
      const auto got =
          owner_.caller_.ReadBody(buffer.data(), buffer.size(), yield);
      if (!got) {
        failure_ = got.last_reason();
        stream_->Reset(net::h2_error::kCancel);
        return;
      }
      if (!stream_->Write({buffer.data(), *got}, *got == 0, yield) ||
          *got == 0) {
        return;
      }
    }
  }

  agent_try& owner_;
  net::h2_stream_ptr stream_;
  side_task task_;
  reason failure_;  // of reading from the caller; empty code if none
};

millis agent_try::TimeLeft() const {
  return std::max(request_.deadline - clock_(), millis(0));
}

try_report agent_try::Run(net::h2_client& agent,
                          target& destination,
                          const net::yield& yield) {
  auto fields = request_.fields;
  fields.emplace_back(kDeadlineHeader, std::to_string(TimeLeft().count()));
  const bool no_body = request_.body_whole && request_.body.empty();
  const auto opened = agent.Open(fields, no_body, yield);
  if (!opened) {
    try_report out;
    out.end = try_end::kConnectFailed;
    out.code = "agent_unreachable";
    out.detail = opened.last_reason().detail;
    out.target_failed = true;
    return out;
  }
  const auto& stream = *opened;
  stream_deadline deadline(stream, yield);
  deadline.Set(TimeLeft());
  body_upload upload(*this, stream);
  if (!no_body) {
    upload.Start(yield);
  }
  auto out = Exchange(*stream, deadline, destination, yield);
  upload.Stop(yield);
  if (upload.caller_failed() && out.end != try_end::kResponseComplete) {
    // A body that the caller did not finish says nothing about the target's
    // health.
    out.code = upload.failure().code;
    out.detail = upload.failure().detail;
    out.target_failed = false;
    out.caller_gone = out.code == "caller_gone";
  }
  return out;
}

try_report agent_try::Exchange(net::h2_stream& stream,
                               stream_deadline& deadline,
                               target& destination,
                               const net::yield& yield) {
  auto head = stream.ReadHeaders(yield);
  if (!head) {
    return ReportLoss(stream, deadline, head.last_reason().detail);
  }
  if (auto load = ReadLoadHeader(net::FindHeader(*head, kLoadHeader))) {
    destination.SetLoad(*load);
  }
  if (!net::FindHeader(*head, kVerdictHeader).empty()) {
    return ReportRefusal(*head);
  }
  if (net::FindHeader(*head, kRequestIdHeader) != request_.id) {
    stream.Reset(net::h2_error::kCancel);
    return ReportLoss(stream, deadline,
                      "the response belongs to another request");
  }
  return ForwardResponse(stream, deadline, std::move(*head), yield);
}

try_report agent_try::ReportLoss(net::h2_stream& stream,
                                 const stream_deadline& deadline,
                                 const std::string& detail) const {
  try_report out;
  out.deadline_passed = deadline.passed();
  const bool refused = stream.delivery() == verdict::kNotRun;
  out.end = refused ? try_end::kStreamRefused : try_end::kOutcomeUnknown;
  out.code = refused               ? "stream_refused"
             : out.deadline_passed ? "deadline_passed"
                                   : "connection_lost";
  out.detail = detail;
  // A late response says nothing about the target's health: slowness shows in
  // its reported load.
  out.target_failed = !refused && !out.deadline_passed;
  return out;
}

try_report agent_try::ReportRefusal(const net::header_list& head) const {
  try_report out;
  out.code = std::string(net::FindHeader(head, kReasonHeader));
  if (out.code.empty()) {
    out.code = "agent_refused";
  }
  // Any other text than the exact token means that the request may have run.
  const bool not_run =
      net::FindHeader(head, kVerdictHeader) == ToString(verdict::kNotRun);
  out.end = not_run ? try_end::kAgentRefused : try_end::kOutcomeUnknown;
  out.deadline_passed = out.code == "deadline_passed";
  out.detail = "refused by the agent: " + out.code;
  out.target_failed =
      IsIn(out.code, {"worker_unreachable", "worker_lost", "answer_truncated"});
  return out;
}

try_report agent_try::ForwardResponse(net::h2_stream& stream,
                                      stream_deadline& deadline,
                                      net::header_list head,
                                      const net::yield& yield) {
  try_report out;
  const auto status = ParseDecimalHeader(net::FindHeader(head, ":status"));
  if (!status || *status < 200 || *status > 599) {
    stream.Reset(net::h2_error::kCancel);
    return ReportLoss(stream, deadline, "the response has no valid status");
  }
  out.status = static_cast<int>(*status);
  const auto length =
      ParseDecimalHeader(net::FindHeader(head, "content-length"));
  RemoveInternal(head);
  if (request_.keep_response) {
    out.response.status = out.status;
    for (const auto& field : head) {
      if (field.first[0] != ':' && field.first != "content-length") {
        out.response.headers.push_back(field);
      }
    }
  }
  head.emplace_back(kRequestIdHeader, request_.id);
  caller_.StartResponse(out.status, head, length);
  const bool whole = ForwardBody(stream, deadline, length, out, yield);
  if (out.caller_gone) {
    out.detail = "the caller closed the connection or stopped reading";
  }
  if (!whole) {
    out.end = out.caller_gone ? try_end::kOutcomeUnknown
                              : try_end::kResponseTruncated;
    out.code = out.caller_gone ? "caller_gone" : "answer_truncated";
    out.target_failed = !out.caller_gone;
    stream.Reset(net::h2_error::kCancel);
    return out;
  }
  out.end = try_end::kResponseComplete;
  if (!out.caller_gone && !caller_.EndResponse(yield)) {
    out.caller_gone = true;
  }
  return out;
}

bool agent_try::ForwardBody(net::h2_stream& stream,
                            stream_deadline& deadline,
                            std::optional<uint64_t> length,
                            try_report& report,
                            const net::yield& yield) {
  const bool body_allowed = HasResponseBody(caller_.method(), report.status);
  std::vector<char> buffer(kReadBufferBytes);
  uint64_t total = 0;
  for (;;) {
    deadline.Set(options_.stall_timeout);
    const auto got = stream.Read(buffer.data(), buffer.size(), yield);
    if (!got && length && total == *length && total > 0) {
      return true;  // all bytes came; only the end of the stream is missing
    }
    if (!got) {
      report.detail = got.last_reason().detail;
      return false;
    }
    if (*got == 0) {
      report.detail = "the response is shorter than its content-length";
      return !body_allowed || !length || total == *length;
    }
    total += *got;
    if (!body_allowed || (length && total > *length)) {
      report.detail = "the response is longer than its content-length";
      return false;
    }
    const std::string_view bytes(buffer.data(), *got);
    if (request_.keep_response &&
        report.response.body.size() < kMaxKeptBodyBytes) {
      report.response.body += bytes;
    }
    // The write to the caller has its own time limit; this only has to be
    // longer.
    deadline.Set(options_.stall_timeout * 2);
    if (!report.caller_gone && !caller_.WriteBody(bytes, yield)) {
      report.caller_gone = true;
      if (!request_.keep_response) {
        return false;
      }
      // The rest is still read, so that the stored response can be sent to a
      // repeat of the request.
    }
  }
}

}  // namespace chiveglade::routing
