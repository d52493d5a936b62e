#include "json_reader.h"

#include <algorithm>

namespace chiveglade::config {

namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kShownValueBytes = 80;

std::string Show(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kShownValueBytes) {
    text.resize(kShownValueBytes);
    text += "...";
  }
  return text;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

// RFC 6901: "~" and "/" are escaped in a reference token.
std::string EscapeToken(const std::string& token) {
  std::string out;
  for (const char c : token) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

std::string RangeText(number_range range) {
  if (range.max == INT64_MAX) {
    return "a whole number of at least " + std::to_string(range.min);
  }
  return "a whole number from " + std::to_string(range.min) + " to " +
         std::to_string(range.max);
}

constexpr char kNameText[] =
    "a name of 1 to 64 letters, digits, '.', '_' or '-'";

}  // namespace

std::string ToString(const problem& what) {
  return what.source + ": " + (what.pointer.empty() ? "/" : what.pointer) +
         ": value " + what.value + "; accepted: " + what.accepted;
}

json_reader::json_reader(read_context& context,
                         const nlohmann::json* value,
                         std::string pointer)
    : context_(context), value_(value), pointer_(std::move(pointer)) {
  if (value_ != nullptr && !value_->is_object()) {
    context_.problems.push_back(
        {context_.source, pointer_, Show(*value_), "an object"});
    value_ = nullptr;
  }
}

std::string json_reader::PointerTo(const std::string& key) const {
  return key.empty() ? pointer_ : pointer_ + "/" + EscapeToken(key);
}

void json_reader::Problem(const std::string& key, const std::string& accepted) {
  std::string shown = "(missing)";
  if (value_ != nullptr) {
    if (key.empty()) {
      shown = Show(*value_);
    } else if (const auto at = value_->find(key); at != value_->end()) {
      shown = Show(*at);
    }
  }
  context_.problems.push_back(
      {context_.source, PointerTo(key), shown, accepted});
}

void json_reader::Describe(const char* key,
                           presence need,
                           const std::string& accepted,
                           const std::string& default_value,
                           const char* meaning) {
  if (context_.fields != nullptr) {
    const bool required = need == presence::kRequired;
    context_.fields->push_back({PointerTo(key), required, accepted,
                                required ? std::string() : default_value,
                                meaning});
  }
}

const nlohmann::json* json_reader::Find(const char* key,
                                        presence need,
                                        const std::string& accepted) {
  seen_.insert(key);
  if (value_ == nullptr) {
    return nullptr;
  }
  if (const auto at = value_->find(key); at != value_->end()) {
    return &*at;
  }
  if (need == presence::kRequired) {
    Problem(key, accepted);
  }
  return nullptr;
}

void json_reader::Text(const char* key,
                       std::string& out,
                       presence need,
                       const char* meaning,
                       size_t max_bytes) {
  const size_t min_bytes = need == presence::kRequired ? 1 : 0;
  const std::string accepted = "a text of " + std::to_string(min_bytes) +
                               " to " + std::to_string(max_bytes) + " bytes";
  Describe(key, need, accepted, out.empty() ? "empty" : out, meaning);
  if (const auto* at = Find(key, need, accepted)) {
    if (!at->is_string() ||
        at->get_ref<const std::string&>().size() < min_bytes ||
        at->get_ref<const std::string&>().size() > max_bytes) {
      Problem(key, accepted);
      return;
    }
    out = at->get<std::string>();
  }
}

void json_reader::Name(const char* key,
                       std::string& out,
                       presence need,
                       const char* meaning) {
  Describe(key, need, kNameText, out.empty() ? "empty" : out, meaning);
  if (const auto* at = Find(key, need, kNameText)) {
    if (!at->is_string() || !IsName(at->get_ref<const std::string&>())) {
      Problem(key, kNameText);
      return;
    }
    out = at->get<std::string>();
  }
}

void json_reader::Names(const char* key,
                        std::vector<std::string>& out,
                        const char* meaning) {
  constexpr int64_t kMaxNames = 1'000;
  Texts(key, {0, kMaxNames}, presence::kOptional, meaning,
        std::string(kNameText) + ", each one once",
        [&out](const std::string& text) {
          if (!IsName(text) ||
              std::find(out.begin(), out.end(), text) != out.end()) {
            return false;
          }
          out.push_back(text);
          return true;
        });
}

void json_reader::Texts(const char* key,
                        number_range items,
                        presence need,
                        const char* meaning,
                        const std::string& accepted,
                        const std::function<bool(const std::string&)>& read) {
  const std::string list = "an array of " + std::to_string(items.min) + " to " +
                           std::to_string(items.max) + " items, each " +
                           accepted;
  Describe(key, need, list, "empty", meaning);
  const auto* at = Find(key, need, list);
  if (at == nullptr) {
    return;
  }
  if (!at->is_array() || static_cast<int64_t>(at->size()) < items.min ||
      static_cast<int64_t>(at->size()) > items.max) {
    Problem(key, list);
    return;
  }
  for (size_t i = 0; i < at->size(); ++i) {
    const auto& item = (*at)[i];
    if (!item.is_string() || !read(item.get_ref<const std::string&>())) {
      context_.problems.push_back({context_.source,
                                   PointerTo(key) + "/" + std::to_string(i),
                                   Show(item), accepted});
    }
  }
}

void json_reader::ReadNumber(const char* key,
                             int64_t& out,
                             number_range range,
                             presence need,
                             const char* meaning) {
  const std::string accepted = RangeText(range);
  Describe(key, need, accepted, std::to_string(out), meaning);
  if (const auto* at = Find(key, need, accepted)) {
    const bool above = at->is_number_unsigned() &&
                       at->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
    if (!at->is_number_integer() || above || at->get<int64_t>() < range.min ||
        at->get<int64_t>() > range.max) {
      Problem(key, accepted);
      return;
    }
    out = at->get<int64_t>();
  }
}

void json_reader::Real(const char* key,
                       double& out,
                       double min,
                       double max,
                       const char* meaning) {
  const auto show = [](double value) { return nlohmann::json(value).dump(); };
  const std::string accepted = "number, " + show(min) + " to " + show(max);
  Describe(key, presence::kOptional, accepted, show(out), meaning);
  if (const auto* at = Find(key, presence::kOptional, accepted)) {
    if (!at->is_number() || at->get<double>() < min ||
        at->get<double>() > max) {
      Problem(key, accepted);
      return;
    }
    out = at->get<double>();
  }
}

void json_reader::Duration(const char* key,
                           millis& out,
                           number_range range,
                           const char* meaning) {
  int64_t count = out.count();
  ReadNumber(key, count, range, presence::kOptional, meaning);
  out = millis(count);
}

void json_reader::Flag(const char* key, bool& out, const char* meaning) {
  Describe(key, presence::kOptional, "true or false", out ? "true" : "false",
           meaning);
  if (const auto* at = Find(key, presence::kOptional, "true or false")) {
    if (!at->is_boolean()) {
      Problem(key, "true or false");
      return;
    }
    out = at->get<bool>();
  }
}

std::string json_reader::ReadWord(const char* key,
                                  const std::vector<std::string>& accepted,
                                  const std::string& current,
                                  const char* meaning) {
  std::string list = "one of";
  for (const auto& word : accepted) {
    list += " \"" + word + "\"";
  }
  Describe(key, presence::kOptional, list, current, meaning);
  if (const auto* at = Find(key, presence::kOptional, list)) {
    if (at->is_string()) {
      const auto& text = at->get_ref<const std::string&>();
      if (std::find(accepted.begin(), accepted.end(), text) != accepted.end()) {
        return text;
      }
    }
    Problem(key, list);
  }
  return {};
}

void json_reader::Object(const char* key,
                         presence need,
                         const char* meaning,
                         const std::function<void(json_reader&)>& read) {
  Describe(key, need, "an object", "see below", meaning);
  const auto* at = Find(key, need, "an object");
  if (at != nullptr || context_.fields != nullptr) {
    json_reader nested(context_, at, PointerTo(key));
    read(nested);
    nested.Finish();
  }
}

void json_reader::Array(const char* key,
                        size_t max_items,
                        presence need,
                        const char* meaning,
                        const std::function<void(json_reader&)>& read) {
  const std::string accepted =
      "an array of at most " + std::to_string(max_items) + " objects";
  Describe(key, need, accepted, "empty", meaning);
  if (context_.fields != nullptr) {
    json_reader nested(context_, nullptr, PointerTo(key) + "/*");
    read(nested);
    return;
  }
  const auto* at = Find(key, need, accepted);
  if (at == nullptr) {
    return;
  }
  if (!at->is_array() || at->size() > max_items) {
    Problem(key, accepted);
    return;
  }
  for (size_t i = 0; i < at->size(); ++i) {
    json_reader nested(context_, &(*at)[i],
                       PointerTo(key) + "/" + std::to_string(i));
    read(nested);
    nested.Finish();
  }
}

void json_reader::Finish() {
  if (value_ == nullptr) {
    return;
  }
  for (const auto& [key, item] : value_->items()) {
    if (seen_.count(key) == 0) {
      std::string known;
      for (const auto& name : seen_) {
        known += (known.empty() ? "" : ", ") + name;
      }
      context_.problems.push_back({context_.source, PointerTo(key), Show(item),
                                   "no such key; known keys are " + known});
    }
  }
}

nlohmann::json ParseJson(const std::string& text, read_context& context) {
  std::vector<std::set<std::string>> keys;
  std::string repeated;
  bool too_deep = false;
  const auto check = [&](int depth, nlohmann::json::parse_event_t event,
                         nlohmann::json& parsed) {
    using parse_event = nlohmann::json::parse_event_t;
    if (depth > kMaxDepth) {
      too_deep = true;
      return false;  // Drops the value, so deep input costs no memory.
    }
    if (event == parse_event::object_start) {
      keys.emplace_back();
    } else if (event == parse_event::object_end) {
      keys.pop_back();
    } else if (event == parse_event::key &&
               !keys.back().insert(parsed.get<std::string>()).second) {
      repeated = parsed.get<std::string>();
    }
    return true;
  };
  const auto fail = [&context](const std::string& value,
                               const std::string& accepted) {
    context.problems.push_back({context.source, "", value, accepted});
    return nlohmann::json();
  };
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(text, check);
  } catch (const nlohmann::json::exception& error) {
    return fail("(not JSON)", std::string("a JSON document: ") + error.what());
  }
  if (too_deep) {
    return fail("(nested deeper)",
                "at most " + std::to_string(kMaxDepth) + " levels of nesting");
  }
  if (!repeated.empty()) {
    return fail("key \"" + repeated + "\" repeated",
                "each key of an object once");
  }
  return value;
}

}  // namespace chiveglade::config
