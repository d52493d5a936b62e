#include "chiveglade/workflow/job_rows.h"

#include <charconv>
#include <utility>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

std::string ToString(const progress_key& in) {
  const std::string first = kProgressPrefix + in.job;
  return in.row == 0 ? first : first + "." + std::to_string(in.row);
}

result<progress_key> ParseProgressKey(std::string_view key) {
  const reason corrupt{"corrupt", "not the key of a row of progress"};
  if (!key.starts_with(kProgressPrefix)) {
    return corrupt;
  }
  key.remove_prefix(sizeof(kProgressPrefix) - 1);
  const auto dot = key.find('.');
  progress_key out{std::string(key.substr(0, dot)), 0};
  if (dot != std::string_view::npos) {
    const char* end = key.data() + key.size();
    const auto [next, error] =
        std::from_chars(key.data() + dot + 1, end, out.row);
    if (error != std::errc() || next != end || out.row == 0) {
      return corrupt;
    }
  }
  return out;
}

std::string EncodeEndedJob(const ended_job& in) {
  return state::WriteCbor(
      state::Row(static_cast<int>(in.phase), in.ended_unix_ms));
}

result<ended_job> DecodeEndedJob(std::string_view bytes) {
  auto parsed = state::ParseCborArray(bytes, "the ended job");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  ended_job out;
  out.phase = in.Enum(job_phase::kCancelled);
  out.ended_unix_ms = in.Int<int64_t>();
  if (!in.Finished() || !IsFinal(out.phase)) {
    return reason{"corrupt", "the ended job has the wrong fields"};
  }
  return out;
}

void AppendEnd(const std::string& id,
               const ended_job& in,
               std::vector<store::mutation>& out) {
  out.push_back({kEndedPrefix + id, EncodeEndedJob(in)});
  out.push_back({kJobPrefix + id, std::nullopt});
  out.push_back({CancellationKey(id), std::nullopt});
}

void AppendForget(const std::string& id, std::vector<store::mutation>& out) {
  out.push_back({kEndedPrefix + id, std::nullopt});
}

std::string CancellationKey(const std::string& id) {
  return kJobPrefix + id + kCancelSuffix;
}

store::transaction AcceptJob(const std::string& id,
                             std::string submission,
                             uint64_t cancellation) {
  const std::string key = kJobPrefix + id;
  const std::string cancellation_key = CancellationKey(id);
  store::transaction out{
      {{key, 0}, {kEndedPrefix + id, 0}, {cancellation_key, cancellation}},
      {{key, std::move(submission)}}};
  if (cancellation > 0) {
    out.mutations.push_back({cancellation_key, std::nullopt});
  }
  return out;
}

store::transaction CancelAbsentJob(const std::string& id, uint64_t version) {
  const std::string key = CancellationKey(id);
  return {{{kJobPrefix + id, 0}, {kEndedPrefix + id, 0}, {key, version}},
          {{key, kCancellation}}};
}

void AppendForgetCancellation(const std::string& id,
                              uint64_t version,
                              store::transaction& out) {
  const std::string key = CancellationKey(id);
  out.conditions.push_back({kJobPrefix + id, 0});
  out.conditions.push_back({key, version});
  out.mutations.push_back({key, std::nullopt});
}

}  // namespace chiveglade::workflow
