// The HTTP interface of an entry towards operators and monitoring.
#ifndef CHIVEGLADE_APP_OPERATOR_API_H_
#define CHIVEGLADE_APP_OPERATOR_API_H_

#include <string>

#include "chiveglade/authority/rows.h"
#include "chiveglade/net/http_server.h"
#include "entry_context.h"
#include "url.h"

namespace chiveglade::app {

// Paths: /healthz, /readyz, /metrics, /status; /v1/manifest; /v1/jobs;
// /v1/dc; /v1/workers. Changes take the query parameters `by` (required),
// `dry_run=1` and, for manifest and data centres, `expect` (the version that
// the operator saw). Every answer is JSON with `status` and `detail`, but for
// /metrics. HTTP status: 200 accepted, 404 not found, 409 conflict, 422
// invalid, 503 not accepted (nothing changed), 504 outcome unknown.
// Thread-safe.
class operator_api {
 public:
  explicit operator_api(entry_context& context);

  // Handler for the entry's operator server.
  net::http_reply Handle(const net::http_request& request,
                         const net::yield& yield);

  // Answers a question that only the scheduler can answer, without asking
  // further: "/status", "/jobs", "/jobs/NAME", "/workers", "/attempts".
  net::http_reply AnswerQuestion(const std::string& path,
                                 const net::yield& yield);

 private:
  // A change that an operator asks for.
  struct change_call {
    std::string body;
    std::string by;
    std::string reason;
    std::string expect;  // version that the operator saw; empty: the newest
    bool dry_run = false;
  };

  net::http_reply HandleV1(const net::http_request& request,
                           const parsed_target& target,
                           const net::yield& yield);
  net::http_reply Show(const parsed_target& target, const net::yield& yield);
  net::http_reply Change(const change_call& call,
                         const parsed_target& target,
                         const net::yield& yield);
  net::http_reply Ready() const;
  net::http_reply Status(const net::yield& yield);
  net::http_reply ShowManifest() const;
  net::http_reply PublishManifest(const change_call& call,
                                  const net::yield& yield);
  net::http_reply ShowDataCentres(const net::yield& yield);
  net::http_reply ChangeDataCentre(const change_call& call,
                                   const std::string& name,
                                   bool out,
                                   const net::yield& yield);
  net::http_reply SubmitJob(const change_call& call, const net::yield& yield);
  net::http_reply CancelJob(const change_call& call,
                            const std::string& name,
                            const net::yield& yield);
  net::http_reply ChangeWorker(const change_call& call,
                               const std::string& name,
                               const std::string& action,
                               const net::yield& yield);
  // Writes a command row and waits a short time for what comes of it.
  net::http_reply SendCommand(const authority::command& order,
                              const std::string& verify,
                              const net::yield& yield);
  // Asks the scheduler, wherever it is.
  net::http_reply AskScheduler(const std::string& path,
                               const net::yield& yield);
  net::http_reply AnswerHere(const std::string& path) const;
  int64_t ConfirmedMillisAgo() const;

  entry_context& context_;
};

// A JSON answer with `status` and `detail`.
net::http_reply MakeAnswer(int http_status,
                           const std::string& status,
                           const std::string& detail);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_OPERATOR_API_H_
