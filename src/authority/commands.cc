#include "chiveglade/authority/commands.h"

#include <memory>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "chiveglade/state/event_codec.h"
#include "conditional_write.h"

namespace chiveglade::authority {

namespace {

std::string Hash(const std::string& bytes) {
  const auto hash = XXH3_128bits(bytes.data(), bytes.size());
  return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

std::string CommandWriter(const std::string& value) {
  const auto read = ReadCommand("", value);
  return read ? read->by : "an unknown writer";
}

std::string DataCentreWriter(const std::string& value) {
  const auto read = ReadDataCentre(value);
  return read ? read->by : "an unknown writer";
}

}  // namespace

command SubmitJob(const std::string& by, const state::job_spec& job) {
  command out;
  out.id = "submit-" + Hash(state::EncodeEvents({state::job_submitted{job}}));
  out.kind = command_kind::kJobSubmit;
  out.by = by;
  out.subject = job.name;
  out.job = job;
  return out;
}

command CancelJob(const std::string& by, const std::string& job) {
  return {"cancel-" + job, command_kind::kJobCancel, by, job, 0, {}};
}

command DrainWorker(const std::string& by,
                    const std::string& vm,
                    bool drained,
                    const std::string& request_id) {
  return {(drained ? "drain-" : "undrain-") + request_id,
          drained ? command_kind::kWorkerDrain : command_kind::kWorkerUndrain,
          by,
          vm,
          0,
          {}};
}

command WorkerGone(const std::string& by,
                   const std::string& vm,
                   uint64_t incarnation,
                   const std::string& request_id) {
  return {
      "gone-" + request_id, command_kind::kWorkerGone, by, vm, incarnation, {}};
}

void SendCommand(const store::table_service& table,
                 const command& order,
                 const command_callback& then) {
  std::make_shared<conditional_write>(table, kCommandPrefix + order.id,
                                      WriteCommand(order), 0, CommandWriter,
                                      then)
      ->Send();
}

void ChangeDataCentre(const store::table_service& table,
                      const data_centre_change& change,
                      const command_callback& then) {
  std::make_shared<conditional_write>(
      table, kDataCentrePrefix + change.name, WriteDataCentre(change.row),
      change.seen_version, DataCentreWriter, then)
      ->Send();
}

void ListDataCentres(
    const store::table_service& table,
    const std::function<void(result<std::vector<data_centre_state>>)>& then) {
  constexpr size_t kMaxRows = 200;
  table.scan(kDataCentrePrefix, kMaxRows,
             [then](const result<std::vector<store::row>>& found) {
               if (!found) {
                 then(found.last_reason());
                 return;
               }
               std::vector<data_centre_state> out;
               for (const auto& row : *found) {
                 auto read = ReadDataCentre(row.value);
                 if (!read) {
                   then(read.last_reason());
                   return;
                 }
                 out.push_back({row.key.substr(sizeof(kDataCentrePrefix) - 1),
                                row.version, *read});
               }
               then(std::move(out));
             });
}

}  // namespace chiveglade::authority
