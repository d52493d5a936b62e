// Reading and writing of the compact CBOR arrays that this module's formats
// consist of.
#ifndef CHIVEGLADE_STATE_CBOR_H_
#define CHIVEGLADE_STATE_CBOR_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/ids.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

using json = nlohmann::json;

// True if the bytes are one CBOR item of the kinds that this module writes:
// integers, texts, arrays, booleans and null, with definite lengths and at most
// 16 levels. The library recurses for each level and throws on oversized
// lengths, so input from outside is checked before it is given to the library.
bool IsPlainCbor(std::string_view bytes);

// Parses bytes that must be an array, or gives a reason; never throws.
result<json> ParseCborArray(std::string_view bytes, const std::string& what);

// The CBOR bytes of a value.
std::string WriteCbor(const json& value);

// Reads the elements of an array one after another. After the first mismatch
// every further read gives a default value and ok() is false.
class cbor_reader {
 public:
  explicit cbor_reader(const json& array) : array_(array) {
    ok_ = array_.is_array();
  }

  bool ok() const { return ok_; }
  // True if nothing was wrong and no element is left.
  bool Finished() const { return ok_ && next_ == array_.size(); }
  void Fail() { ok_ = false; }

  template <typename T>
  T Int() {
    const json* at = Next();
    if (!at || !at->is_number_integer()) {
      ok_ = false;
      return T{};
    }
    if (at->is_number_unsigned()) {
      return Narrow<T>(at->get<uint64_t>());
    }
    return Narrow<T>(at->get<int64_t>());
  }
  // An enumeration whose highest enumerator is `last`.
  template <typename E>
  E Enum(E last) {
    const auto value = Int<std::underlying_type_t<E>>();
    if (value > static_cast<std::underlying_type_t<E>>(last)) {
      ok_ = false;
      return E{};
    }
    return static_cast<E>(value);
  }
  millis Millis() { return millis(Int<int64_t>()); }
  bool Bool();
  std::string Text();
  // An element that must be an array; an empty array after a mismatch.
  const json& Array();
  resources Resources();
  vm_id Vm();
  attempt_id Attempt();
  std::vector<std::string> Texts();
  job_spec Spec();

  // Reads an array whose elements are arrays, each with `read`.
  template <typename T, typename F>
  std::vector<T> List(F read) {
    std::vector<T> out;
    for (const json& item : Array()) {
      cbor_reader inner(item);
      out.push_back(read(inner));
      if (!inner.Finished()) {
        ok_ = false;
        break;
      }
    }
    return out;
  }

 private:
  const json* Next() {
    if (!ok_ || next_ >= array_.size()) {
      ok_ = false;
      return nullptr;
    }
    return &array_[next_++];
  }
  template <typename T, typename V>
  T Narrow(V value) {
    if (!std::in_range<T>(value)) {
      ok_ = false;
      return T{};
    }
    return static_cast<T>(value);
  }

  const json& array_;
  size_t next_ = 0;
  bool ok_ = true;
};

// Builds an array value; unlike an initialiser list it never becomes an object.
template <typename... T>
json Row(T&&... items) {
  json out = json::array();
  out.get_ref<json::array_t&>().reserve(sizeof...(items));
  (out.push_back(json(std::forward<T>(items))), ...);
  return out;
}

// Appends further elements to an array.
template <typename... T>
void Append(json& array, T&&... items) {
  (array.push_back(json(std::forward<T>(items))), ...);
}

json ToCbor(const resources& in);
json ToCbor(const std::vector<std::string>& in);
json ToCbor(const job_spec& in);

// An array of the arrays that `write` gives for each item.
template <typename T, typename F>
json ToCborList(const std::vector<T>& in, F write) {
  json out = json::array();
  out.get_ref<json::array_t&>().reserve(in.size());
  for (const T& item : in) {
    out.push_back(write(item));
  }
  return out;
}

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_CBOR_H_
