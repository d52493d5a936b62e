#include "cbor.h"

#include <optional>

namespace chiveglade::state {

namespace {

constexpr size_t kMaxDepth = 16;
constexpr size_t kMaxHeadBytes = 9;

// Arguments below this are part of the head's first byte.
constexpr unsigned kFirstLongArgument = 24;

// The head of one CBOR item: its major type and its argument.
struct item_head {
  unsigned major = 0;
  uint64_t argument = 0;
  bool is_short = false;  // the argument is part of the first byte
};

// Reads a head with a definite argument and advances `at`.
std::optional<item_head> ReadHead(std::string_view bytes, size_t& at) {
  if (at >= bytes.size()) {
    return std::nullopt;
  }
  const auto first = static_cast<uint8_t>(bytes[at++]);
  const unsigned low = first & 0x1fU;
  item_head out{static_cast<unsigned>(first >> 5U), low,
                low < kFirstLongArgument};
  if (out.is_short) {
    return out;
  }
  if (low > 27) {
    return std::nullopt;
  }
  const size_t size = size_t{1} << (low - kFirstLongArgument);
  if (bytes.size() - at < size) {
    return std::nullopt;
  }
  out.argument = 0;
  for (size_t i = 0; i < size; ++i) {
    out.argument = out.argument << 8U | static_cast<uint8_t>(bytes[at++]);
  }
  return out;
}

// Checks an item's head and skips its text; false for kinds not written here.
bool Accept(const item_head& head, std::string_view bytes, size_t& at) {
  const size_t left = bytes.size() - at;
  switch (head.major) {
    case 0:
    case 1:
      return head.argument <= uint64_t{INT64_MAX} || head.major == 0;
    case 3:
      if (head.argument > left) {
        return false;
      }
      at += head.argument;
      return true;
    case 4:
      return head.argument <= left;  // Each element takes at least one byte.
    case 7:
      // Longer heads are floating-point numbers.
      return head.is_short && head.argument >= 20 && head.argument <= 22;
    default:
      return false;
  }
}

// Writes a head with the shortest form of its argument.
void WriteHead(std::string& out, unsigned major, uint64_t argument) {
  const auto first = static_cast<unsigned>(major << 5U);
  if (argument < kFirstLongArgument) {
    out += static_cast<char>(first | argument);
    return;
  }
  unsigned exponent = 0;  // the argument takes 2 to this power bytes
  while (exponent < 3 && argument >> (8U << exponent) != 0) {
    ++exponent;
  }
  out += static_cast<char>(first | (kFirstLongArgument + exponent));
  for (unsigned bytes = 1U << exponent; bytes > 0; --bytes) {
    out += static_cast<char>(argument >> (8 * (bytes - 1)) & 0xffU);
  }
}

}  // namespace

bool IsPlainCbor(std::string_view bytes) {
  std::vector<uint64_t> open{1};  // elements still to come, by level
  size_t at = 0;
  while (!open.empty()) {
    if (open.back() == 0) {
      open.pop_back();
      continue;
    }
    --open.back();
    const auto head = ReadHead(bytes, at);
    if (!head || !Accept(*head, bytes, at)) {
      return false;
    }
    if (head->major == 4) {
      if (open.size() > kMaxDepth) {
        return false;
      }
      open.push_back(head->argument);
    }
  }
  return at == bytes.size();
}

result<cbor_view> ParseCborArray(std::string_view bytes,
                                 const std::string& what) {
  if (!IsPlainCbor(bytes)) {
    return reason{"corrupt", what + " is not well-formed CBOR"};
  }
  size_t at = 0;
  const auto head = ReadHead(bytes, at);
  if (head->major != 4 || head->argument == 0) {
    return reason{"corrupt", what + " is not a CBOR array"};
  }
  return cbor_view{bytes};
}

void cbor_array::AppendHead(unsigned major, uint64_t argument) {
  ++size_;
  WriteHead(elements_, major, argument);
}

void cbor_array::push_back(std::string_view text) {
  AppendHead(kText, text.size());
  elements_ += text;
}

void cbor_array::push_back(const cbor_array& nested) {
  AppendHead(kArray, nested.size_);
  elements_ += nested.elements_;
}

std::string cbor_array::Bytes() const {
  std::string out;
  out.reserve(elements_.size() + kMaxHeadBytes);
  WriteHead(out, kArray, size_);
  out += elements_;
  return out;
}

std::string WriteCbor(const cbor_array& value) {
  return value.Bytes();
}

cbor_reader::cbor_reader(cbor_view array) {
  size_t at = 0;
  if (const auto head = ReadHead(array.bytes, at)) {
    rest_ = array.bytes.substr(at);
    left_ = head->argument;
  }
}

cbor_reader::element cbor_reader::Next() {
  if (!ok_ || left_ == 0) {
    ok_ = false;
    return {};
  }
  --left_;
  size_t at = 0;
  // IsPlainCbor() holds, so all heads and texts are complete.
  const auto first = *ReadHead(rest_, at);
  auto head = first;
  for (uint64_t pending = 1;;) {
    if (head.major == cbor_array::kText) {
      at += head.argument;
    } else if (head.major == cbor_array::kArray) {
      pending += head.argument;
    }
    if (--pending == 0) {
      break;
    }
    head = *ReadHead(rest_, at);
  }
  element out{first.major, first.argument, rest_.substr(0, at)};
  rest_.remove_prefix(at);
  return out;
}

bool cbor_reader::Bool() {
  const auto at = Next();
  if (at.major != cbor_array::kSimple ||
      (at.argument != cbor_array::kFalse && at.argument != cbor_array::kTrue)) {
    ok_ = false;
    return false;
  }
  return at.argument == cbor_array::kTrue;
}

std::string cbor_reader::Text() {
  const auto at = Next();
  if (at.major != cbor_array::kText) {
    ok_ = false;
    return {};
  }
  return std::string(at.bytes.substr(at.bytes.size() - at.argument));
}

cbor_view cbor_reader::Array() {
  const auto at = Next();
  if (at.major != cbor_array::kArray) {
    ok_ = false;
    return {};
  }
  return {at.bytes};
}

resources cbor_reader::Resources() {
  cbor_reader in(Array());
  resources out{in.Int<int64_t>(), in.Int<int64_t>(), in.Int<int64_t>()};
  ok_ = ok_ && in.Finished();
  return out;
}

vm_id cbor_reader::Vm() {
  vm_id out;
  out.name = Text();
  out.incarnation = Int<uint64_t>();
  return out;
}

attempt_id cbor_reader::Attempt() {
  attempt_id out;
  out.task.job = Text();
  out.task.index = Int<uint32_t>();
  out.number = Int<uint32_t>();
  return out;
}

std::vector<std::string> cbor_reader::Texts() {
  std::vector<std::string> out;
  cbor_reader in(Array());
  while (in.ok() && !in.Finished()) {
    out.push_back(in.Text());
  }
  ok_ = ok_ && in.ok();
  return out;
}

job_spec cbor_reader::Spec() {
  cbor_reader in(Array());
  job_spec out;
  out.name = in.Text();
  out.tenant = in.Text();
  out.klass = in.Text();
  out.priority = in.Enum(band::kIdle);
  out.tasks = in.Int<uint32_t>();
  out.per_task = in.Resources();
  out.expected_run = in.Millis();
  out.run_lease = in.Millis();
  out.max_failures = in.Int<uint32_t>();
  out.data_centres = in.Texts();
  out.max_per_vm = in.Int<uint32_t>();
  out.max_per_rack = in.Int<uint32_t>();
  out.payload = in.Text();
  ok_ = ok_ && in.Finished();
  return out;
}

cbor_array ToCbor(const resources& in) {
  return Row(in.millicores, in.memory_mib, in.accelerators);
}

cbor_array ToCbor(const std::vector<std::string>& in) {
  cbor_array out;
  for (const auto& text : in) {
    out.push_back(text);
  }
  return out;
}

cbor_array ToCbor(const job_spec& in) {
  return Row(in.name, in.tenant, in.klass, static_cast<uint8_t>(in.priority),
             in.tasks, ToCbor(in.per_task), in.expected_run.count(),
             in.run_lease.count(), in.max_failures, ToCbor(in.data_centres),
             in.max_per_vm, in.max_per_rack, in.payload);
}

}  // namespace chiveglade::state
