// Reading and writing of the compact CBOR arrays that this module's formats
// consist of.
#ifndef CHIVEGLADE_STATE_CBOR_H_
#define CHIVEGLADE_STATE_CBOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/ids.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

// True if the bytes are one CBOR item of the kinds that this module writes:
// integers, texts, arrays, booleans and null, with definite lengths and at most
// 16 levels.
bool IsPlainCbor(std::string_view bytes);

// One array within bytes for which IsPlainCbor() holds. Refers to the bytes,
// which must outlive it.
struct cbor_view {
  std::string_view bytes;
};

// Checks bytes that must be an array with elements, or gives a reason. The
// result refers to `bytes`.
result<cbor_view> ParseCborArray(std::string_view bytes,
                                 const std::string& what);

// An array that is being written. Holds its elements as CBOR bytes, so that a
// message costs no allocation for each of its values.
class cbor_array {
 public:
  template <typename T>
  requires std::is_integral_v<T>
  void push_back(T value) {
    if constexpr (std::is_same_v<T, bool>) {
      AppendHead(kSimple, value ? kTrue : kFalse);
      return;
    } else if constexpr (std::is_signed_v<T>) {
      if (value < 0) {
        AppendHead(kNegative, static_cast<uint64_t>(-1 - int64_t{value}));
        return;
      }
    }
    AppendHead(kUnsigned, static_cast<uint64_t>(value));
  }
  void push_back(std::string_view text);
  void push_back(const char* text) { push_back(std::string_view(text)); }
  void push_back(const cbor_array& nested);

  // The whole array.
  std::string Bytes() const;

 private:
  friend class cbor_reader;
  // Major types and simple values of RFC 8949.
  static constexpr unsigned kUnsigned = 0;
  static constexpr unsigned kNegative = 1;
  static constexpr unsigned kText = 3;
  static constexpr unsigned kArray = 4;
  static constexpr unsigned kSimple = 7;
  static constexpr uint64_t kFalse = 20;
  static constexpr uint64_t kTrue = 21;

  void AppendHead(unsigned major, uint64_t argument);

  std::string elements_;
  uint64_t size_ = 0;
};

// The CBOR bytes of an array.
std::string WriteCbor(const cbor_array& value);

// Reads the elements of an array one after another. After the first mismatch
// every further read gives a default value and ok() is false.
class cbor_reader {
 public:
  explicit cbor_reader(cbor_view array);

  bool ok() const { return ok_; }
  // True if nothing was wrong and no element is left.
  bool Finished() const { return ok_ && left_ == 0; }
  void Fail() { ok_ = false; }

  template <typename T>
  T Int() {
    const auto at = Next();
    if (at.major == cbor_array::kUnsigned) {
      return Narrow<T>(at.argument);
    }
    if (at.major == cbor_array::kNegative) {
      return Narrow<T>(-1 - static_cast<int64_t>(at.argument));
    }
    ok_ = false;
    return T{};
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
  cbor_view Array();
  resources Resources();
  vm_id Vm();
  attempt_id Attempt();
  std::vector<std::string> Texts();
  job_spec Spec();

  // Reads an array whose elements are arrays, each with `read`.
  template <typename T, typename F>
  std::vector<T> List(F read) {
    std::vector<T> out;
    cbor_reader items(Array());
    while (items.ok() && !items.Finished()) {
      cbor_reader inner(items.Array());
      out.push_back(read(inner));
      if (!inner.Finished()) {
        items.Fail();
      }
    }
    ok_ = ok_ && items.ok();
    return out;
  }

 private:
  // An element: its major type and argument, and all its bytes.
  struct element {
    unsigned major = cbor_array::kSimple;  // no value of any type
    uint64_t argument = 0;
    std::string_view bytes;
  };

  element Next();
  template <typename T, typename V>
  T Narrow(V value) {
    if (!std::in_range<T>(value)) {
      ok_ = false;
      return T{};
    }
    return static_cast<T>(value);
  }

  std::string_view rest_;  // elements that have not been read
  uint64_t left_ = 0;      // their number
  bool ok_ = true;
};

// Builds an array of these elements.
template <typename... T>
cbor_array Row(const T&... items) {
  cbor_array out;
  (out.push_back(items), ...);
  return out;
}

// Appends further elements to an array.
template <typename... T>
void Append(cbor_array& array, const T&... items) {
  (array.push_back(items), ...);
}

cbor_array ToCbor(const resources& in);
cbor_array ToCbor(const std::vector<std::string>& in);
cbor_array ToCbor(const job_spec& in);

// An array of the arrays that `write` gives for each item.
template <typename T, typename F>
cbor_array ToCborList(const std::vector<T>& in, F write) {
  cbor_array out;
  for (const T& item : in) {
    out.push_back(write(item));
  }
  return out;
}

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_CBOR_H_
