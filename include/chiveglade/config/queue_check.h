// Check of a configuration of workflow queues before it is put into force.
#ifndef CHIVEGLADE_CONFIG_QUEUE_CHECK_H_
#define CHIVEGLADE_CONFIG_QUEUE_CHECK_H_

#include <optional>
#include <string>
#include <vector>

#include "chiveglade/config/problem.h"

namespace chiveglade::config {

constexpr size_t kMaxQueueConfigBytes = size_t{1024} * 1024;

// The text of a configuration and the name shown in its problems.
struct queue_document {
  std::string source;
  std::string text;

  friend bool operator==(const queue_document&,
                         const queue_document&) = default;
};

// One value that differs. Values are JSON text, empty where there is none.
struct queue_difference {
  std::string section;    // "routes", "services" or "limits"; empty: top level
  std::string name;       // of the queue or service
  std::string field;      // empty: the whole queue or service
  std::string old_value;  // in force; empty if added
  std::string new_value;  // empty if removed

  friend bool operator==(const queue_difference&,
                         const queue_difference&) = default;
};

struct queue_report {
  std::vector<problem> errors;    // must be mended
  std::vector<problem> warnings;  // have no effect, but may be mistakes
  std::vector<queue_difference> differences;

  friend bool operator==(const queue_report&, const queue_report&) = default;
};

// Checks a configuration and, with `in_force`, compares it with that one. Takes
// any bytes; a text that cannot be read is an error in the report. Fields that
// the check does not know are compared but not checked.
queue_report CheckQueues(const queue_document& proposed,
                         const std::optional<queue_document>& in_force);

// "added|removed|changed: SECTION NAME FIELD: OLD -> NEW".
std::string ToString(const queue_difference& what);

// The report as a JSON object on one line.
std::string ToJson(const queue_report& report);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_QUEUE_CHECK_H_
