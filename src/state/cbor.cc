#include "cbor.h"

namespace chiveglade::state {

namespace {

constexpr size_t kMaxDepth = 16;

// The head of one CBOR item: its major type and its argument.
struct item_head {
  unsigned major = 0;
  uint64_t argument = 0;
};

// Reads a head with a definite argument and advances `at`.
std::optional<item_head> ReadHead(std::string_view bytes, size_t& at) {
  if (at >= bytes.size()) {
    return std::nullopt;
  }
  const auto first = static_cast<uint8_t>(bytes[at++]);
  const unsigned low = first & 0x1fU;
  item_head out{static_cast<unsigned>(first >> 5U), low};
  if (low < 24) {
    return out;
  }
  if (low > 27) {
    return std::nullopt;
  }
  const size_t size = size_t{1} << (low - 24);
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
      return head.argument >= 20 && head.argument <= 22;
    default:
      return false;
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

result<json> ParseCborArray(std::string_view bytes, const std::string& what) {
  if (!IsPlainCbor(bytes)) {
    return reason{"corrupt", what + " is not well-formed CBOR"};
  }
  json out = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!out.is_array() || out.empty()) {
    return reason{"corrupt", what + " is not a CBOR array"};
  }
  return out;
}

std::string WriteCbor(const json& value) {
  std::string out;
  json::to_cbor(value, out);
  return out;
}

bool cbor_reader::Bool() {
  const json* at = Next();
  if (!at || !at->is_boolean()) {
    ok_ = false;
    return false;
  }
  return at->get<bool>();
}

std::string cbor_reader::Text() {
  const json* at = Next();
  if (!at || !at->is_string()) {
    ok_ = false;
    return {};
  }
  return at->get_ref<const std::string&>();
}

const json& cbor_reader::Array() {
  static const json none = json::array();
  const json* at = Next();
  if (!at || !at->is_array()) {
    ok_ = false;
    return none;
  }
  return *at;
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
  const json& items = Array();
  cbor_reader in(items);
  for (size_t i = 0; i < items.size(); ++i) {
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

json ToCbor(const resources& in) {
  return Row(in.millicores, in.memory_mib, in.accelerators);
}

json ToCbor(const std::vector<std::string>& in) {
  json out = json::array();
  for (const auto& text : in) {
    out.push_back(text);
  }
  return out;
}

json ToCbor(const job_spec& in) {
  return Row(in.name, in.tenant, in.klass, static_cast<uint8_t>(in.priority),
             in.tasks, ToCbor(in.per_task), in.expected_run.count(),
             in.run_lease.count(), in.max_failures, ToCbor(in.data_centres),
             in.max_per_vm, in.max_per_rack, in.payload);
}

}  // namespace chiveglade::state
