// The value-or-reason type returned by factories and fallible calls.
#ifndef CHIVEGLADE_CORE_RESULT_H_
#define CHIVEGLADE_CORE_RESULT_H_

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace chiveglade {

// Why a call produced no value. `code` is a short stable token in snake case
// that callers may compare; `detail` is one sentence for a person.
struct reason {
  std::string code;
  std::string detail;

  friend bool operator==(const reason&, const reason&) = default;
};

// An optional value with the last reason for its absence. Either holds a value
// or a reason, never both.
template <typename T>
class [[nodiscard]] result {
 public:
  // Implicit, so that a factory can return either a value or a reason.
  result(T value) : value_(std::move(value)) {}         // NOLINT
  result(reason why) : last_reason_(std::move(why)) {}  // NOLINT

  explicit operator bool() const { return value_.has_value(); }
  bool has_value() const { return value_.has_value(); }

  // Must only be called when a value is present.
  const T& operator*() const& { return Checked(); }
  T& operator*() & { return Checked(); }
  T&& operator*() && { return std::move(Checked()); }
  const T* operator->() const { return &Checked(); }
  T* operator->() { return &Checked(); }

  // The value as a plain optional, for call sites that drop the reason.
  const std::optional<T>& optional() const { return value_; }

  // Must only be called when no value is present.
  const reason& last_reason() const {
    assert(!value_.has_value());
    return last_reason_;
  }

 private:
  const T& Checked() const {
    assert(value_.has_value());
    return *value_;
  }
  T& Checked() {
    assert(value_.has_value());
    return *value_;
  }

  std::optional<T> value_;
  reason last_reason_;
};

// The value of a call that succeeds without producing anything.
struct done {
  friend bool operator==(const done&, const done&) = default;
};

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_RESULT_H_
