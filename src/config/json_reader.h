// Reads one JSON object field by field and collects every problem.
#ifndef CHIVEGLADE_CONFIG_JSON_READER_H_
#define CHIVEGLADE_CONFIG_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "chiveglade/config/problem.h"
#include "chiveglade/config/reference.h"
#include "chiveglade/core/clock.h"

namespace chiveglade::config {

// State shared by the readers of one document. With `fields` set, nothing is
// parsed: each field asked for is described there instead.
struct read_context {
  std::string source;
  std::vector<problem> problems;
  std::vector<field_reference>* fields = nullptr;
};

enum class presence { kRequired, kOptional };

// Whole numbers accepted for a field, both ends included.
struct number_range {
  int64_t min = 0;
  int64_t max = INT64_MAX;
};

// A view of one JSON object. Fields that are missing keep the value the caller
// put into the output variable, which is the default. Finish() must be called
// last: it reports the keys that nobody asked for. Not copyable; does not own
// the JSON value.
class json_reader {
 public:
  // `value` may be null while describing.
  json_reader(read_context& context,
              const nlohmann::json* value,
              std::string pointer);
  json_reader(const json_reader&) = delete;
  json_reader& operator=(const json_reader&) = delete;

  // A text of 1 to `max_bytes` bytes; an optional one may also be empty.
  void Text(const char* key,
            std::string& out,
            presence need,
            const char* meaning,
            size_t max_bytes = 256);

  // A name: letters, digits, '.', '_' and '-', 1 to 64 bytes.
  void Name(const char* key,
            std::string& out,
            presence need,
            const char* meaning);

  // A list of names without duplicates.
  void Names(const char* key,
             std::vector<std::string>& out,
             const char* meaning);

  template <typename T>
  void Number(const char* key,
              T& out,
              number_range range,
              presence need,
              const char* meaning) {
    auto wide = static_cast<int64_t>(out);
    ReadNumber(key, wide, range, need, meaning);
    out = static_cast<T>(wide);
  }

  // A number that may have a fraction, from `min` to `max`. Optional.
  void Real(const char* key,
            double& out,
            double min,
            double max,
            const char* meaning);

  // A duration; the key ends in _ms and the value is in milliseconds.
  void Duration(const char* key,
                millis& out,
                number_range range,
                const char* meaning);

  void Flag(const char* key, bool& out, const char* meaning);

  // One of the given words.
  template <typename E>
  void Choice(const char* key,
              E& out,
              const std::vector<std::pair<std::string, E>>& words,
              const char* meaning) {
    std::vector<std::string> accepted;
    std::string current;
    for (const auto& [word, choice] : words) {
      accepted.push_back(word);
      if (choice == out) {
        current = word;
      }
    }
    if (const auto picked = ReadWord(key, accepted, current, meaning);
        !picked.empty()) {
      for (const auto& [word, choice] : words) {
        if (word == picked) {
          out = choice;
        }
      }
    }
  }

  // A nested object.
  void Object(const char* key,
              presence need,
              const char* meaning,
              const std::function<void(json_reader&)>& read);

  // An array of objects of at most `max_items`.
  void Array(const char* key,
             size_t max_items,
             presence need,
             const char* meaning,
             const std::function<void(json_reader&)>& read);

  // An array of texts, each handed to `read` with its own pointer.
  void Texts(const char* key,
             number_range items,
             presence need,
             const char* meaning,
             const std::string& accepted,
             const std::function<bool(const std::string&)>& read);

  // Reports a problem with the value at `key` (empty: the object itself).
  void Problem(const std::string& key, const std::string& accepted);

  const std::string& pointer() const { return pointer_; }
  void Finish();

 private:
  const nlohmann::json* Find(const char* key,
                             presence need,
                             const std::string& accepted);
  std::string PointerTo(const std::string& key) const;
  void Describe(const char* key,
                presence need,
                const std::string& accepted,
                const std::string& default_value,
                const char* meaning);
  void ReadNumber(const char* key,
                  int64_t& out,
                  number_range range,
                  presence need,
                  const char* meaning);
  std::string ReadWord(const char* key,
                       const std::vector<std::string>& accepted,
                       const std::string& current,
                       const char* meaning);

  read_context& context_;
  const nlohmann::json* value_;
  std::string pointer_;
  std::set<std::string> seen_;
};

// Parses `text` into a JSON value, reporting syntax errors, repeated keys and
// nesting deeper than kMaxDepth. Returns null after a problem.
constexpr int kMaxDepth = 32;
nlohmann::json ParseJson(const std::string& text, read_context& context);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_JSON_READER_H_
