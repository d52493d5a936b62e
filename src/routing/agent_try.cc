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

// Bytes read at once from an answer. One buffer for each open request.
constexpr size_t kReadBytes = 16'384;

// The body of a stored answer may not pass the limit of the claim by much.
constexpr size_t kKeptBytes = 65'536;

bool IsIn(std::string_view code, std::initializer_list<std::string_view> set) {
  return std::find(set.begin(), set.end(), code) != set.end();
}

}  // namespace

// Sends a body that is too long to be held, while the answer may already be
// coming in.
class agent_try::body_upload {
 public:
  body_upload(agent_try& of, net::h2_stream_ptr stream)
      : of_(of), stream_(std::move(stream)) {}

  void Start(const net::yield& yield) {
    task_.Start(yield, [this](const net::yield& inner) { Run(inner); });
  }

  // Stops the upload if the answer did not wait for its end.
  void Stop(const net::yield& yield) {
    if (task_.running()) {
      stream_->Reset(net::h2_error::kCancel);
      if (of_.request_.body_consumed) {
        of_.caller_.CancelRead();
      }
    }
    task_.Join(yield);
  }

  bool caller_failed() const { return !failure_.code.empty(); }
  const reason& failure() const { return failure_; }

 private:
  void Run(const net::yield& yield) {
    const auto& start = of_.request_.body;
    if (!stream_->Write(start, of_.request_.body_whole, yield) ||
        of_.request_.body_whole) {
      return;
    }
    of_.request_.body_consumed = true;
    std::vector<char> buffer(kReadBytes);
    for (;;) {
      const auto got =
          of_.caller_.ReadBody(buffer.data(), buffer.size(), yield);
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

  agent_try& of_;
  net::h2_stream_ptr stream_;
  side_task task_;
  reason failure_;
};

millis agent_try::TimeLeft() const {
  return std::max(request_.deadline - clock_(), millis(0));
}

try_report agent_try::Run(net::h2_client& agent,
                          target& at,
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
  auto out = Exchange(*stream, deadline, at, yield);
  upload.Stop(yield);
  if (upload.caller_failed() && out.end != try_end::kResponseComplete) {
    // The target is not to blame for what the caller did not send.
    out.code = upload.failure().code;
    out.detail = upload.failure().detail;
    out.target_failed = false;
    out.caller_gone = out.code == "caller_gone";
  }
  return out;
}

try_report agent_try::Exchange(net::h2_stream& stream,
                               stream_deadline& deadline,
                               target& at,
                               const net::yield& yield) {
  auto head = stream.ReadHeaders(yield);
  if (!head) {
    return Lost(stream, deadline, head.last_reason().detail);
  }
  if (auto load = ReadLoadHeader(net::FindHeader(*head, kLoadHeader))) {
    at.SetLoad(*load);
  }
  if (!net::FindHeader(*head, kVerdictHeader).empty()) {
    return Refused(*head);
  }
  if (net::FindHeader(*head, kRequestIdHeader) != request_.id) {
    stream.Reset(net::h2_error::kCancel);
    return Lost(stream, deadline, "the answer belongs to another request");
  }
  return PassOn(stream, deadline, std::move(*head), yield);
}

try_report agent_try::Lost(net::h2_stream& stream,
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
  // A slow answer says nothing about the target's health: its load does.
  out.target_failed = !refused && !out.deadline_passed;
  return out;
}

try_report agent_try::Refused(const net::header_list& head) const {
  try_report out;
  out.code = std::string(net::FindHeader(head, kReasonHeader));
  if (out.code.empty()) {
    out.code = "agent_refused";
  }
  // Anything but the exact token must not be taken for not_run.
  const bool not_run =
      net::FindHeader(head, kVerdictHeader) == ToString(verdict::kNotRun);
  out.end = not_run ? try_end::kAgentRefused : try_end::kOutcomeUnknown;
  out.deadline_passed = out.code == "deadline_passed";
  out.detail = "refused by the agent: " + out.code;
  out.target_failed =
      IsIn(out.code, {"worker_unreachable", "worker_lost", "answer_truncated"});
  return out;
}

try_report agent_try::PassOn(net::h2_stream& stream,
                             stream_deadline& deadline,
                             net::header_list head,
                             const net::yield& yield) {
  try_report out;
  const auto status = ParseDecimalHeader(net::FindHeader(head, ":status"));
  if (!status || *status < 200 || *status > 599) {
    stream.Reset(net::h2_error::kCancel);
    return Lost(stream, deadline, "the answer has no valid status");
  }
  out.status = static_cast<int>(*status);
  const auto length =
      ParseDecimalHeader(net::FindHeader(head, "content-length"));
  RemoveInternal(head);
  if (request_.keep_answer) {
    out.answer.status = out.status;
    for (const auto& field : head) {
      if (field.first[0] != ':' && field.first != "content-length") {
        out.answer.headers.push_back(field);
      }
    }
  }
  head.emplace_back(kRequestIdHeader, request_.id);
  caller_.StartResponse(out.status, head, length);
  const bool whole = PassOnBody(stream, deadline, length, out, yield);
  if (out.caller_gone) {
    out.detail = "the caller stopped reading or is gone";
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

bool agent_try::PassOnBody(net::h2_stream& stream,
                           stream_deadline& deadline,
                           std::optional<uint64_t> length,
                           try_report& report,
                           const net::yield& yield) {
  const bool expected = HasResponseBody(caller_.method(), report.status);
  std::vector<char> buffer(kReadBytes);
  uint64_t total = 0;
  for (;;) {
    deadline.Set(options_.stall_timeout);
    const auto got = stream.Read(buffer.data(), buffer.size(), yield);
    if (!got && length && total == *length && total > 0) {
      return true;  // only the regular end is missing
    }
    if (!got) {
      report.detail = got.last_reason().detail;
      return false;
    }
    if (*got == 0) {
      report.detail = "the answer is shorter than its length";
      return !expected || !length || total == *length;
    }
    total += *got;
    if (!expected || (length && total > *length)) {
      report.detail = "the answer is longer than its length";
      return false;
    }
    const std::string_view bytes(buffer.data(), *got);
    if (request_.keep_answer && report.answer.body.size() < kKeptBytes) {
      report.answer.body += bytes;
    }
    // The writer has a time limit of its own.
    deadline.Set(options_.stall_timeout * 2);
    if (!report.caller_gone && !caller_.WriteBody(bytes, yield)) {
      report.caller_gone = true;
      if (!request_.keep_answer) {
        return false;
      }
      // The rest is read all the same, so that a repeat can be answered.
    }
  }
}

}  // namespace chiveglade::routing
