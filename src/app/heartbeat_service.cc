#include "heartbeat_service.h"

#include <utility>

#include "chiveglade/authority/rows.h"
#include "chiveglade/state/heartbeat_codec.h"
#include "manifest_fetch.h"

namespace chiveglade::app {

namespace {

constexpr char kCbor[] = "application/cbor";

}  // namespace

bool IsOut(const store::row& data_centre) {
  const auto value = authority::ReadDataCentre(data_centre.value);
  // A row that cannot be read, for instance of a newer version, is taken as
  // out: starting less is the safe reading.
  return !value || value->out;
}

result<std::string> ReadBody(net::h2_stream& stream,
                             size_t max_bytes,
                             const net::yield& yield) {
  std::string body;
  char buffer[16 * 1024];
  while (true) {
    const auto got = stream.Read(buffer, sizeof(buffer), yield);
    if (!got) {
      return got.last_reason();
    }
    if (*got == 0) {
      return body;
    }
    body.append(buffer, *got);
    if (body.size() > max_bytes) {
      return reason{"body_too_large", "the body is larger than " +
                                          std::to_string(max_bytes) + " bytes"};
    }
  }
}

heartbeat_service::heartbeat_service(entry_context& context,
                                     question_fn answer_question)
    : context_(context), answer_question_(std::move(answer_question)) {}

void heartbeat_service::Handle(const net::h2_stream_ptr& stream,
                               const net::yield& yield) {
  const std::string path(net::FindHeader(stream->request_headers(), ":path"));
  if (path == kHeartbeatPath) {
    HandleHeartbeat(stream, yield);
  } else if (path == kManifestPath) {
    const auto view = context_.reader->view();
    ServeManifest(
        {view->published.version, view->manifest_text, view->manifest}, *stream,
        yield);
  } else if (path.rfind(kSchedulerPrefix, 0) == 0) {
    const auto reply =
        answer_question_(path.substr(sizeof(kSchedulerPrefix) - 1), yield);
    Reply(*stream, reply.status, reply.headers, reply.body, yield);
  } else {
    Reply(*stream, 404, {}, "", yield);
  }
}

void heartbeat_service::HandleHeartbeat(const net::h2_stream_ptr& stream,
                                        const net::yield& yield) {
  const auto body = ReadBody(*stream, state::kMaxHeartbeatBytes, yield);
  if (!body) {
    stream->Reset(net::h2_error::kEnhanceYourCalm);
    return;
  }
  const auto message = state::DecodeHeartbeat(*body);
  if (!message) {
    Reply(*stream, 400, {}, message.last_reason().detail, yield);
    return;
  }
  context_.directory->OnHeartbeat(*message);
  auto answer = RunOn<state::heartbeat_answer>(
      context_.control,
      [this, &message] { return context_.scheduler->OnHeartbeat(*message); },
      yield);
  FillIn(*message, answer);
  Reply(*stream, 200, {{"content-type", kCbor}}, state::EncodeAnswer(answer),
        yield);
  if (message->manifest_version > context_.reader->view()->published.version) {
    AdoptNewer(*message, yield);
  }
}

void heartbeat_service::FillIn(const state::heartbeat& message,
                               state::heartbeat_answer& answer) const {
  const auto view = context_.reader->view();
  answer.entries = view->entries;
  answer.manifest_version = view->published.version;
  if (answer.epoch != 0) {
    return;  // The scheduler has said whether the VM is in service.
  }
  if (const auto row = view->data_centres.find(message.data_centre);
      row != view->data_centres.end()) {
    answer.out_of_service = IsOut(row->second);
    answer.out_version = row->second.version;
  }
}

void heartbeat_service::AdoptNewer(const state::heartbeat& message,
                                   const net::yield& yield) {
  const auto client = context_.peer(message.address);
  if (!client) {
    return;
  }
  const auto held = FetchManifest(*client, yield);
  if (!held) {
    return;
  }
  RunOn<bool>(
      context_.control,
      [this, &held] {
        return context_.reader->AdoptFromPeer(held->version, *held->text)
            .has_value();
      },
      yield);
}

}  // namespace chiveglade::app
