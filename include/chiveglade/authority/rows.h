// Keys and values of the table rows that the scheduler shares with all entries.
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

// Key of one record's row; the number is zero-padded so that keys sort
// numerically.
std::string RecordKey(uint64_t sequence);
// Key prefix of the block of 100 records that contains `sequence`.
std::string RecordBlockPrefix(uint64_t sequence);
constexpr uint64_t kRecordsPerBlock = 100;
// Key of the object that holds the snapshot taken after this record.
std::string SnapshotKey(uint64_t sequence);

// Value of `journal/head`.
struct journal_head {
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // of the newest record
  uint64_t snapshot = 0;  // record up to which a snapshot exists; 0: none
  uint64_t oldest = 1;    // rows of older records are deleted
  uint64_t manifest = 0;  // newest manifest version that any scheduler applied
  std::string nonce;      // identifies the append that wrote the row
  std::string writer;     // name of the entry
  std::string address;    // address at which agents reach the writer
  bool released = false;  // the writer gave up the scheduler role

  friend bool operator==(const journal_head&, const journal_head&) = default;
};

// Value of a `dc/<name>` row. A data centre without a row is in service.
struct data_centre_row {
  bool out = false;
  std::string since;  // the entry's wall clock, for display only
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
  std::string subject;  // name of the job or VM
  // kWorkerGone: the incarnation that is gone; 0: the one that is joined.
  uint64_t incarnation = 0;
  state::job_spec job;  // kJobSubmit

  friend bool operator==(const command&, const command&) = default;
};

// Encode and decode rows as JSON. Decoding fails with "newer_format" or
// "corrupt"; ReadCommand also with the reasons of DecodeEvents.
std::string WriteHead(const journal_head& in);
result<journal_head> ReadHead(const std::string& text);
std::string WriteDataCentre(const data_centre_row& in);
result<data_centre_row> ReadDataCentre(const std::string& text);
std::string WriteCommand(const command& in);
result<command> ReadCommand(const std::string& id, const std::string& text);

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_ROWS_H_
