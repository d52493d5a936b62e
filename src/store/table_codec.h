// The JSON messages of the table service.
//
//   POST /read    {"key"}                     {"row": row or null}
//   POST /scan    {"prefix", "limit"}         {"rows": [row]}
//   POST /commit  {"conditions": [{"key", "version"}],
//                  "mutations": [{"key", "value" or null}]}
//                 200 {"version"}, 409 {"conflict": key}
//
// A row is {"key", "value", "version"}. Values are base64, since they are bytes
// and JSON strings are not.
#ifndef CHIVEGLADE_SRC_STORE_TABLE_CODEC_H_
#define CHIVEGLADE_SRC_STORE_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/store/table.h"

namespace chiveglade::store {

struct scan_request {
  std::string prefix;
  size_t limit = 0;
};

// Writers. No value if a key is not UTF-8, which JSON cannot carry.
std::optional<std::string> WriteReadRequest(const std::string& key);
std::optional<std::string> WriteScanRequest(const scan_request& in);
std::optional<std::string> WriteTransaction(const transaction& in);
std::string WriteReadAnswer(const std::optional<row>& in);
std::string WriteScanAnswer(const std::vector<row>& in);
std::string WriteCommitted(uint64_t version);
std::string WriteConflict(const std::string& key);

// Readers. The reason is "bad_message".
result<std::string> ParseReadRequest(const std::string& text);
result<scan_request> ParseScanRequest(const std::string& text);
result<transaction> ParseTransaction(const std::string& text);
result<std::optional<row>> ParseReadAnswer(const std::string& text);
result<std::vector<row>> ParseScanAnswer(const std::string& text);
result<uint64_t> ParseCommitted(const std::string& text);
result<std::string> ParseConflict(const std::string& text);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_SRC_STORE_TABLE_CODEC_H_
