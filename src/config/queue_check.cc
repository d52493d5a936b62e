#include "chiveglade/config/queue_check.h"

#include <map>
#include <set>
#include <utility>

#include "json_reader.h"

namespace chiveglade::config {

namespace {

using nlohmann::json;

// One text is never longer than the file.
constexpr size_t kMaxTextBytes = kMaxQueueConfigBytes;

std::string ItemPointer(const char* section, size_t index) {
  return std::string("/") + section + "/" + std::to_string(index);
}

// Reads the parts that every configuration needs. Returns the version.
uint64_t ReadTop(const json& in, read_context& errors) {
  json_reader top(errors, &in, "");
  uint64_t version = 0;
  top.Number("version", version, {}, presence::kRequired, "");
  if (in.is_object()) {
    for (const char* section : {"routes", "services"}) {
      if (!in.contains(section) || !in[section].is_array()) {
        top.Problem(section, "an array of objects");
      }
    }
    if (in.contains("limits") && !in["limits"].is_object()) {
      top.Problem("limits", "an object");
    }
  }
  return version;
}

// The items of an array, empty if there is no such array.
const json& Items(const json& in, const char* section) {
  static const json none = json::array();
  return in.is_object() && in.contains(section) && in[section].is_array()
             ? in[section]
             : none;
}

class queue_checker {
 public:
  queue_checker(const json& in, read_context& errors, read_context& warnings)
      : in_(in), errors_(errors), warnings_(warnings) {}

  void Run() {
    ReadServices();
    const auto& routes = Items(in_, "routes");
    for (size_t i = 0; i < routes.size(); ++i) {
      CheckRoute(routes[i], ItemPointer("routes", i));
    }
    WarnOfUnusedServices();
    CheckLimits();
  }

 private:
  void ReadServices() {
    const auto& services = Items(in_, "services");
    for (size_t i = 0; i < services.size(); ++i) {
      json_reader item(errors_, &services[i], ItemPointer("services", i));
      std::string name;
      item.Text("name", name, presence::kRequired, "", kMaxTextBytes);
      if (!name.empty() && !services_.insert(name).second) {
        item.Problem("name", "a name that no earlier service has");
      }
    }
  }

  void CheckRoute(const json& in, const std::string& pointer) {
    json_reader item(errors_, &in, pointer);
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    item.Text("name", name, presence::kRequired, "", kMaxTextBytes);
    item.Text("host", host, presence::kRequired, "", kMaxTextBytes);
    item.Text("prefix", prefix, presence::kRequired, "", kMaxTextBytes);
    item.Text("service", service, presence::kRequired, "", kMaxTextBytes);
    CheckNumbers(in, item);
    if (!name.empty() && !names_.insert(name).second) {
      item.Problem("name", "a name that no earlier queue has");
    }
    // Gateways compare the host of a request without its port.
    if (host.find(':') != std::string::npos) {
      item.Problem("host", "a host without a port; this one never matches");
    }
    if (!prefix.empty() && prefix.front() != '/') {
      item.Problem("prefix", "a path that starts with /; this never matches");
    }
    if (!host.empty() && !prefix.empty()) {
      // Of queues with the same host and prefix, the first gets every request.
      const auto [first, is_new] = matches_.emplace(
          std::pair(std::move(host), std::move(prefix)), pointer);
      if (!is_new) {
        item.Problem("prefix", "a host and prefix of its own; " +
                                   first->second +
                                   " has the same, so this never matches");
      }
    }
    if (!service.empty()) {
      used_.insert(service);
      if (services_.count(service) == 0) {
        item.Problem("service", "a service listed under /services");
      }
    }
  }

  static void CheckNumbers(const json& in, json_reader& item) {
    uint32_t priority = 0;
    uint32_t attempts = 1;
    millis timeout{0};  // 0: none given
    millis target{0};
    item.Number("priority", priority, {0, UINT32_MAX}, presence::kOptional, "");
    item.Number("attempts", attempts, {1, UINT32_MAX}, presence::kOptional, "");
    item.Duration("target_latency_ms", target, {1}, "");
    item.Duration("timeout_ms", timeout, {1}, "");
    if (timeout > millis{0} && timeout < target) {
      item.Problem("timeout_ms", "at least target_latency_ms, which is " +
                                     std::to_string(target.count()));
    }
    if (in.is_object() && in.contains("stretch")) {
      const auto& stretch = in["stretch"];
      if (!stretch.is_number() || stretch.get<double>() < 1.0) {
        item.Problem("stretch", "a number of at least 1");
      }
    }
  }

  void WarnOfUnusedServices() {
    const auto& services = Items(in_, "services");
    for (size_t i = 0; i < services.size(); ++i) {
      if (!services[i].is_object()) {
        continue;
      }
      const auto name = services[i].find("name");
      if (name != services[i].end() && name->is_string() &&
          used_.count(name->get<std::string>()) == 0) {
        json_reader(warnings_, &services[i], ItemPointer("services", i))
            .Problem("name", "a service that a queue names");
      }
    }
  }

  void CheckLimits() {
    if (!in_.is_object() || !in_.contains("limits") ||
        !in_["limits"].is_object()) {
      return;
    }
    json_reader limits(errors_, &in_["limits"], "/limits");
    for (const char* key : {"max_header_bytes", "max_body_bytes",
                            "header_timeout_ms", "idle_timeout_ms"}) {
      int64_t value = 1;
      limits.Number(key, value, {1}, presence::kOptional, "");
    }
  }

  const json& in_;
  read_context& errors_;
  read_context& warnings_;
  std::set<std::string> services_;
  std::set<std::string> names_;
  std::set<std::string> used_;  // services that queues name
  std::map<std::pair<std::string, std::string>, std::string> matches_;
};

// Texts inside may have been cut within a character.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Text for a terminal: control characters are escaped.
std::string Escaped(const std::string& text) {
  const auto quoted = Dump(text);
  return quoted.substr(1, quoted.size() - 2);
}

// Items by name. Items without a name are left out, later ones of a name too.
std::map<std::string, json> ByName(const json& items) {
  std::map<std::string, json> out;
  for (const auto& item : items) {
    if (item.is_object() && item.contains("name") && item["name"].is_string()) {
      out.emplace(item["name"].get<std::string>(), item);
    }
  }
  return out;
}

void CompareFields(const json& before,
                   const json& after,
                   const std::string& section,
                   const std::string& name,
                   std::vector<queue_difference>& out) {
  for (const auto& [field, value] : after.items()) {
    const auto old = before.find(field);
    if (old == before.end()) {
      out.push_back({section, name, field, "", Dump(value)});
    } else if (*old != value) {
      out.push_back({section, name, field, Dump(*old), Dump(value)});
    }
  }
  for (const auto& [field, value] : before.items()) {
    if (!after.contains(field)) {
      out.push_back({section, name, field, Dump(value), ""});
    }
  }
}

std::vector<queue_difference> Compare(const json& before, const json& after) {
  std::vector<queue_difference> out;
  for (const char* section : {"routes", "services"}) {
    const auto olds = ByName(Items(before, section));
    const auto news = ByName(Items(after, section));
    for (const auto& [name, item] : news) {
      if (const auto old = olds.find(name); old == olds.end()) {
        out.push_back({section, name, "", "", Dump(item)});
      } else {
        CompareFields(old->second, item, section, name, out);
      }
    }
    for (const auto& [name, item] : olds) {
      if (news.count(name) == 0) {
        out.push_back({section, name, "", Dump(item), ""});
      }
    }
  }
  const auto limits_of = [](const json& in) {
    return in.contains("limits") && in["limits"].is_object() ? in["limits"]
                                                             : json::object();
  };
  CompareFields(limits_of(before), limits_of(after), "limits", "", out);
  return out;
}

// Without an array of queues or a version there is nothing to compare.
void CompareWith(const queue_document& in_force,
                 const json& after,
                 uint64_t version,
                 read_context& errors,
                 queue_report& report) {
  read_context context{in_force.source, {}, nullptr};
  const auto before = ParseJson(in_force.text, context);
  uint64_t old_version = 0;
  if (context.problems.empty()) {
    old_version = ReadTop(before, context);
  }
  if (!context.problems.empty()) {
    errors.problems.insert(errors.problems.end(), context.problems.begin(),
                           context.problems.end());
    return;
  }
  report.differences = Compare(before, after);
  // The same file again is no change, so its version may stay.
  if (version < old_version ||
      (version == old_version && !report.differences.empty())) {
    json_reader(errors, &after, "")
        .Problem("version", "a whole number above " +
                                std::to_string(old_version) +
                                ", the version in force");
  }
  if (version != old_version) {
    report.differences.insert(report.differences.begin(),
                              {"", "", "version", std::to_string(old_version),
                               std::to_string(version)});
  }
}

json ToJsonArray(const std::vector<problem>& problems) {
  json out = json::array();
  for (const auto& what : problems) {
    out.push_back({{"file", what.source},
                   {"pointer", what.pointer},
                   {"value", what.value},
                   {"accepted", what.accepted}});
  }
  return out;
}

}  // namespace

queue_report CheckQueues(const queue_document& proposed,
                         const std::optional<queue_document>& in_force) {
  queue_report report;
  read_context errors{proposed.source, {}, nullptr};
  read_context warnings{proposed.source, {}, nullptr};
  const auto in = ParseJson(proposed.text, errors);
  if (errors.problems.empty()) {
    const auto version = ReadTop(in, errors);
    const bool comparable = errors.problems.empty();
    queue_checker(in, errors, warnings).Run();
    if (in_force && comparable) {
      CompareWith(*in_force, in, version, errors, report);
    }
  }
  report.errors = std::move(errors.problems);
  report.warnings = std::move(warnings.problems);
  return report;
}

std::string ToString(const queue_difference& what) {
  std::string out = what.old_value.empty()   ? "added:"
                    : what.new_value.empty() ? "removed:"
                                             : "changed:";
  for (const auto* part : {&what.section, &what.name, &what.field}) {
    out += part->empty() ? "" : " " + Escaped(*part);
  }
  out += ": " + (what.old_value.empty() ? "(none)" : what.old_value);
  return out + " -> " + (what.new_value.empty() ? "(none)" : what.new_value);
}

std::string ToJson(const queue_report& report) {
  json differences = json::array();
  for (const auto& what : report.differences) {
    json item{
        {"section", what.section}, {"name", what.name}, {"field", what.field}};
    // A key is left out where there is no value, since a value may be null.
    if (!what.old_value.empty()) {
      item["old"] = json::parse(what.old_value, nullptr, false);
    }
    if (!what.new_value.empty()) {
      item["new"] = json::parse(what.new_value, nullptr, false);
    }
    differences.push_back(std::move(item));
  }
  return Dump({{"errors", ToJsonArray(report.errors)},
               {"warnings", ToJsonArray(report.warnings)},
               {"differences", std::move(differences)}});
}

}  // namespace chiveglade::config
