// What any entry writes to the table on behalf of an operator.
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

// `kAccepted`: the row is durable. `kConflict`: somebody else's change came
// first; nothing was written. `kNotAccepted`: the store refused the write;
// nothing was written. `kUnknown`: an answer was lost and reading could not
// settle whether the write took effect or still will.
enum class command_status { kAccepted, kConflict, kNotAccepted, kUnknown };

struct command_outcome {
  command_status status = command_status::kUnknown;
  // kAccepted: of the row written. Otherwise of the row found, or 0.
  uint64_t version = 0;
  std::string by;      // who wrote the row found; may be empty
  std::string detail;  // one sentence for the operator

  friend bool operator==(const command_outcome&,
                         const command_outcome&) = default;
};

using command_callback = std::function<void(command_outcome)>;

// The command to submit a job. Its id is a hash of the whole job, so that
// submitting the same job again is the same command, and another job under the
// same name is a command of its own, which the scheduler rejects.
command SubmitJob(const std::string& by, const state::job_spec& job);
// The command to cancel a job. Cancelling twice is the same command.
command CancelJob(const std::string& by, const std::string& job);
// The commands for one VM. `request_id` names the operator's request; a repeat
// of it after a lost answer must carry the same one.
command DrainWorker(const std::string& by,
                    const std::string& vm,
                    bool drained,
                    const std::string& request_id);
// `incarnation` is the one that is gone, or 0 for the one that is known when
// the scheduler absorbs the command.
command WorkerGone(const std::string& by,
                   const std::string& vm,
                   uint64_t incarnation,
                   const std::string& request_id);

// Writes a command row. Sending a command again is harmless: the scheduler
// executes each id once. What came of it is in cluster_state::commands().
void SendCommand(const store::table_service& table,
                 const command& order,
                 const command_callback& then);

// A change of one data centre, conditional on the version that the operator
// saw; 0 if there was no row.
struct data_centre_change {
  std::string name;
  uint64_t seen_version = 0;
  data_centre_row row;  // `nonce` must be different for each request

  friend bool operator==(const data_centre_change&,
                         const data_centre_change&) = default;
};

// Writes a data centre row; of two concurrent changes one is accepted and the
// other is told who came first and at which version.
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

// Reads the data centre rows. Names without a row are in service at version 0.
void ListDataCentres(
    const store::table_service& table,
    const std::function<void(result<std::vector<data_centre_state>>)>& then);

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_COMMANDS_H_
