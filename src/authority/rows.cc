#include "chiveglade/authority/rows.h"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "chiveglade/state/event_codec.h"

namespace chiveglade::authority {

namespace {

using nlohmann::json;

constexpr char kHexDigits[] = "0123456789abcdef";

std::string Padded(uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(20 - digits.size(), '0') + digits;
}

// JSON strings must be UTF-8, so opaque bytes are written as hexadecimal
// digits.
std::string ToHex(const std::string& bytes) {
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<uint8_t>(c);
    out.push_back(kHexDigits[byte >> 4U]);
    out.push_back(kHexDigits[byte & 15U]);
  }
  return out;
}

std::optional<uint8_t> HexDigit(char c) {
  const std::string digits = kHexDigits;
  const auto at = digits.find(c);
  return at == std::string::npos ? std::nullopt
                                 : std::optional(static_cast<uint8_t>(at));
}

std::string FromHex(const std::string& text) {
  std::string out;
  for (size_t i = 0; i + 1 < text.size(); i += 2) {
    const auto high = HexDigit(text[i]);
    const auto low = HexDigit(text[i + 1]);
    if (!high || !low) {
      return {};
    }
    out.push_back(static_cast<char>(*high << 4U | *low));
  }
  return out;
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Reads the members of a JSON object and records whether one was missing or had
// the wrong type.
class row_reader {
 public:
  row_reader(const std::string& text, std::string what)
      : what_(std::move(what)), object_(json::parse(text, nullptr, false)) {
    ok_ = object_.is_object();
    if (ok_) {
      format_ = Number("format");
    }
  }

  uint64_t Number(const char* name) {
    const auto at = object_.find(name);
    if (at == object_.end() || !at->is_number_unsigned()) {
      ok_ = false;
      return 0;
    }
    return at->get<uint64_t>();
  }
  bool Flag(const char* name) {
    const auto at = object_.find(name);
    if (at == object_.end() || !at->is_boolean()) {
      ok_ = false;
      return false;
    }
    return at->get<bool>();
  }
  std::string Text(const char* name) {
    const auto at = object_.find(name);
    if (at == object_.end() || !at->is_string()) {
      ok_ = false;
      return {};
    }
    return at->get_ref<const std::string&>();
  }

  bool readable() const { return ok_ && format_ <= kRowFormat; }
  reason Why() const {
    if (format_ > kRowFormat) {
      return {"newer_format", "the " + what_ + " has format " +
                                  std::to_string(format_) +
                                  "; this program reads formats up to " +
                                  std::to_string(kRowFormat)};
    }
    return {"corrupt",
            "the " + what_ +
                " lacks a field or has one of the wrong type or value"};
  }

 private:
  std::string what_;
  json object_;
  bool ok_ = false;
  uint64_t format_ = 0;
};

}  // namespace

std::string RecordKey(uint64_t sequence) {
  return "journal/" + Padded(sequence);
}

std::string RecordBlockPrefix(uint64_t sequence) {
  return "journal/" + Padded(sequence).substr(0, 18);
}

std::string SnapshotKey(uint64_t sequence) {
  return "snapshot/" + Padded(sequence);
}

std::string WriteHead(const journal_head& in) {
  return Dump({{"format", kRowFormat},
               {"epoch", in.epoch},
               {"sequence", in.sequence},
               {"snapshot", in.snapshot},
               {"oldest", in.oldest},
               {"manifest", in.manifest},
               {"nonce", in.nonce},
               {"writer", in.writer},
               {"address", in.address},
               {"released", in.released}});
}

result<journal_head> ReadHead(const std::string& text) {
  row_reader in(text, "journal head");
  if (!in.readable()) {
    return in.Why();
  }
  journal_head out;
  out.epoch = in.Number("epoch");
  out.sequence = in.Number("sequence");
  out.snapshot = in.Number("snapshot");
  out.oldest = in.Number("oldest");
  out.manifest = in.Number("manifest");
  out.nonce = in.Text("nonce");
  out.writer = in.Text("writer");
  out.address = in.Text("address");
  out.released = in.Flag("released");
  if (!in.readable()) {
    return in.Why();
  }
  return out;
}

std::string WriteDataCentre(const data_centre_row& in) {
  return Dump({{"format", kRowFormat},
               {"state", in.out ? "out" : "in"},
               {"since", in.since},
               {"by", in.by},
               {"reason", in.why},
               {"nonce", in.nonce}});
}

result<data_centre_row> ReadDataCentre(const std::string& text) {
  row_reader in(text, "data centre row");
  if (!in.readable()) {
    return in.Why();
  }
  data_centre_row out;
  const std::string state = in.Text("state");
  out.out = state != "in";
  out.since = in.Text("since");
  out.by = in.Text("by");
  out.why = in.Text("reason");
  out.nonce = in.Text("nonce");
  if (!in.readable() || (state != "in" && state != "out")) {
    return in.Why();
  }
  return out;
}

std::string WriteCommand(const command& in) {
  json out = {{"format", kRowFormat},
              {"kind", static_cast<uint8_t>(in.kind)},
              {"by", in.by},
              {"subject", in.subject},
              {"incarnation", in.incarnation},
              {"job", ""}};
  if (in.kind == command_kind::kJobSubmit) {
    out["job"] = ToHex(state::EncodeEvents({state::job_submitted{in.job}}));
  }
  return Dump(out);
}

result<command> ReadCommand(const std::string& id, const std::string& text) {
  row_reader in(text, "command row");
  if (!in.readable()) {
    return in.Why();
  }
  command out;
  out.id = id;
  const uint64_t kind = in.Number("kind");
  out.by = in.Text("by");
  out.subject = in.Text("subject");
  out.incarnation = in.Number("incarnation");
  const std::string job = in.Text("job");
  if (!in.readable() ||
      kind > static_cast<uint64_t>(command_kind::kWorkerGone)) {
    return in.Why();
  }
  out.kind = static_cast<command_kind>(kind);
  if (out.kind == command_kind::kJobSubmit) {
    const auto events = state::DecodeEvents(FromHex(job));
    if (!events) {
      return events.last_reason();
    }
    const auto* submitted =
        events->size() == 1 ? std::get_if<state::job_submitted>(&(*events)[0])
                            : nullptr;
    if (!submitted) {
      return in.Why();
    }
    out.job = submitted->spec;
  }
  return out;
}

}  // namespace chiveglade::authority
