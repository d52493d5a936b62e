// Table writes that any entry makes on behalf of an operator: commands and data
// centre changes.
#ifndef CHIVEGLADE_AUTHORITY_COMMANDS_H_
#define CHIVEGLADE_AUTHORITY_COMMANDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chiveglade/authority/rows.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/job.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// `kAccepted`: the row is durable. `kConflict`: a concurrent change was
// committed first; nothing was written. `kNotAccepted`: the store refused the
// write; nothing was written. `kUnknown`: the store's answer was lost and
// reading the row did not show whether the write took effect or may still take
// effect.
enum class command_status { kAccepted, kConflict, kNotAccepted, kUnknown };

struct command_outcome {
  command_status status = command_status::kUnknown;
  // Version of the row written (kAccepted) or else of the row found; 0 if there
  // is none.
  uint64_t version = 0;
  std::string by;      // writer of the row found; may be empty
  std::string detail;  // one sentence for the operator

  friend bool operator==(const command_outcome&,
                         const command_outcome&) = default;
};

using command_callback = std::function<void(command_outcome)>;

// Returns the command that submits a job. Its id is a hash of the whole job:
// submitting the same job again gives the same command, and a different job of
// the same name gives a different one, which the scheduler rejects.
command SubmitJob(const std::string& by, const state::job_spec& job);
// Returns the command that cancels a job. Cancelling twice gives the same
// command.
command CancelJob(const std::string& by, const std::string& job);
// Return the commands for one VM. `request_id` is the idempotency key of the
// operator's request; a retry after a lost answer must carry the same one.
command DrainWorker(const std::string& by,
                    const std::string& vm,
                    bool drained,
                    const std::string& request_id);
// `incarnation` is the one that is gone; 0 means the one that is joined when
// the scheduler executes the command.
command WorkerGone(const std::string& by,
                   const std::string& vm,
                   uint64_t incarnation,
                   const std::string& request_id);

// Writes a command row. Sending a command again is harmless: the scheduler
// executes each id once. Its outcome appears in cluster_state::commands().
void SendCommand(const store::table_service& table,
                 const command& order,
                 const command_callback& then);

// A change of one data centre, conditional on the row version that the operator
// saw (0: no row).
struct data_centre_change {
  std::string name;
  uint64_t seen_version = 0;
  data_centre_row row;  // `nonce` must be different for each request

  friend bool operator==(const data_centre_change&,
                         const data_centre_change&) = default;
};

// Writes a data centre row. Of two concurrent changes one is accepted; the
// other gets kConflict with the writer and version of the accepted one.
void ChangeDataCentre(const store::table_service& table,
                      const data_centre_change& change,
                      const command_callback& then);

// A data centre row as read.
struct data_centre_state {
  std::string name;
  uint64_t version = 0;
  data_centre_row row;

  friend bool operator==(const data_centre_state&,
                         const data_centre_state&) = default;
};

// Reads all data centre rows. A data centre without a row is in service at
// version 0.
void ListDataCentres(
    const store::table_service& table,
    const std::function<void(result<std::vector<data_centre_state>>)>& then);

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_COMMANDS_H_
