// Keys and values of the table rows that scheduler and entries share.
#ifndef CHIVEGLADE_AUTHORITY_ROWS_H_
#define CHIVEGLADE_AUTHORITY_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chiveglade/core/result.h"
#include "chiveglade/state/job.h"

namespace chiveglade::authority {

inline constexpr char kHeadKey[] = "journal/head";
inline constexpr char kCommandPrefix[] = "command/";
inline constexpr char kDataCentrePrefix[] = "dc/";

// Version of the head, command and data centre rows. A newer one is refused.
constexpr uint32_t kRowFormat = 1;

// The row of one record; the number is padded so that keys sort by it.
std::string RecordKey(uint64_t sequence);
// Prefix of the keys of the 100 records from a multiple of 100 on.
std::string RecordBlockPrefix(uint64_t sequence);
constexpr uint64_t kRecordsPerBlock = 100;
// The object that holds the state after a record.
std::string SnapshotKey(uint64_t sequence);

// Value of `journal/head`.
struct journal_head {
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // of the newest record
  uint64_t snapshot = 0;  // record up to which a snapshot exists; 0: none
  uint64_t oldest = 1;    // no record before this one has a row
  uint64_t manifest = 0;  // newest manifest version that a scheduler applied
  std::string nonce;      // identifies the append that wrote the row
  std::string writer;     // name of the entry
  std::string address;    // where agents reach it
  bool released = false;  // the writer gave the role up

  friend bool operator==(const journal_head&, const journal_head&) = default;
};

// Value of a `dc/<name>` row. A data centre without a row is in service.
struct data_centre_row {
  bool out = false;
  std::string since;  // as told by the operator's entry, for people
  std::string by;
  std::string why;
  std::string nonce;  // identifies the write

  friend bool operator==(const data_centre_row&,
                         const data_centre_row&) = default;
};

enum class command_kind : uint8_t {
  kJobSubmit,
  kJobCancel,
  kWorkerDrain,
  kWorkerUndrain,
  kWorkerGone,
};

// Value of a `command/<id>` row.
struct command {
  std::string id;  // part of the key; also the idempotency key
  command_kind kind = command_kind::kJobSubmit;
  std::string by;
  std::string subject;       // name of the job or VM
  uint64_t incarnation = 0;  // kWorkerGone: the VM meant; 0: whichever is there
  state::job_spec job;       // kJobSubmit

  friend bool operator==(const command&, const command&) = default;
};

// JSON texts. Reading gives "newer_format" or "corrupt" as reasons.
std::string WriteHead(const journal_head& in);
result<journal_head> ReadHead(const std::string& text);
std::string WriteDataCentre(const data_centre_row& in);
result<data_centre_row> ReadDataCentre(const std::string& text);
std::string WriteCommand(const command& in);
result<command> ReadCommand(const std::string& id, const std::string& text);

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_ROWS_H_
