#include "src/sched/hints.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace chiveglade::sched {
namespace {

using nlohmann::json;

constexpr int kHintsVersion = 1;

bool IsNumberIn(const json& value, double least, double most) {
  return value.is_number() && value.get<double>() >= least &&
         value.get<double>() <= most;
}

json WriteHistogram(const ratio_histogram& histogram) {
  json counts = json::array();
  for (const auto count : histogram.buckets()) {
    counts.push_back(std::round(count));
  }
  return counts;
}

void ReadHistogram(const json& from, ratio_histogram& histogram) {
  std::array<float, 48> counts{};
  if (!from.is_array() || from.size() != counts.size()) {
    return;
  }
  for (size_t i = 0; i < counts.size(); ++i) {
    if (!IsNumberIn(from[i], 0, 1e6)) {
      return;
    }
    counts[i] = from[i].get<float>();
  }
  histogram.set_buckets(counts);
}

void ReadDemand(const json& from, demand_model::entry& into) {
  ReadHistogram(from.value("cores", json()), into.core_ratios);
  ReadHistogram(from.value("memory", json()), into.memory_ratios);
  if (const auto share = from.value("loss", json()); IsNumberIn(share, 0, 1)) {
    into.loss_share = share.get<double>();
  }
  if (const auto ratio = from.value("run", json());
      IsNumberIn(ratio, 0.01, 100)) {
    into.run_ratio = ratio.get<double>();
    // Enough samples that the next task does not replace the average of many.
    into.run_samples = 10;
  }
}

void ReadPair(const json& from, const learned_tables& tables, boot_time now) {
  if (!from.is_object() || !from.value("victim", json()).is_string() ||
      !from.value("neighbour", json()).is_string() ||
      !IsNumberIn(from.value("mean", json()), 0, 10) ||
      !IsNumberIn(from.value("samples", json()), 0, 1e6)) {
    return;
  }
  const auto victim = tables.classes.Index(from["victim"].get<std::string>());
  const auto neighbour =
      tables.classes.Index(from["neighbour"].get<std::string>());
  tables.interference.PairFor(victim, neighbour) = {
      from["mean"].get<double>(), from["samples"].get<double>(), now};
  tables.interference.DecayConfidence(now);
}

void ReadThrottle(const json& from,
                  const learned_tables& tables,
                  boot_time now) {
  if (!from.is_object() || !from.value("vm", json()).is_string() ||
      !from.value("job", json()).is_string() ||
      !IsNumberIn(from.value("index", json()), 0, 4e9) ||
      !IsNumberIn(from.value("number", json()), 1, 4e9) ||
      !IsNumberIn(from.value("percent", json()), 1, 100)) {
    return;
  }
  tables.guard.RestoreThrottle(
      from["vm"].get<std::string>(),
      {{from["job"].get<std::string>(), from["index"].get<uint32_t>()},
       from["number"].get<uint32_t>()},
      from["percent"].get<uint32_t>(), now);
}

json WritePairs(const learned_tables& tables, boot_time now) {
  json pairs = json::array();
  const auto& rows = tables.interference.rows();
  for (size_t victim = 0; victim < rows.size(); ++victim) {
    for (size_t other = 0; other < rows[victim].size(); ++other) {
      const auto& pair = rows[victim][other];
      const double samples = interference_model::DecayedSamples(pair, now);
      if (samples >= 0.1) {
        pairs.push_back(
            {{"victim",
              tables.classes.at(static_cast<class_index>(victim)).name},
             {"neighbour",
              tables.classes.at(static_cast<class_index>(other)).name},
             {"mean", pair.mean},
             {"samples", samples}});
      }
    }
  }
  return pairs;
}

json WriteThrottles(const learned_tables& tables) {
  json throttles = json::array();
  for (const auto& [vm, attempts] : tables.guard.Throttles()) {
    for (const auto& [attempt, order] : attempts) {
      throttles.push_back({{"vm", vm},
                           {"job", attempt.task.job},
                           {"index", attempt.task.index},
                           {"number", attempt.number},
                           {"percent", order.percent}});
    }
  }
  return throttles;
}

}  // namespace

std::string WriteHints(const learned_tables& tables, boot_time now) {
  json classes = json::object();
  const auto& entries = tables.demand.entries();
  for (size_t i = 0; i < entries.size(); ++i) {
    classes[tables.classes.at(static_cast<class_index>(i)).name] = {
        {"cores", WriteHistogram(entries[i].core_ratios)},
        {"memory", WriteHistogram(entries[i].memory_ratios)},
        {"run", entries[i].run_ratio},
        {"loss", entries[i].loss_share}};
  }
  return json{{"version", kHintsVersion},
              {"classes", std::move(classes)},
              {"pairs", WritePairs(tables, now)},
              {"throttles", WriteThrottles(tables)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

bool ReadHints(const std::string& text,
               const learned_tables& tables,
               boot_time now) {
  const auto root = json::parse(text, nullptr, false);
  if (!root.is_object() || root.value("version", json()) != kHintsVersion) {
    return false;
  }
  if (const auto classes = root.value("classes", json()); classes.is_object()) {
    for (const auto& [name, entry] : classes.items()) {
      if (entry.is_object()) {
        ReadDemand(entry, tables.demand.EntryFor(tables.classes.Index(name)));
      }
    }
  }
  for (const auto& pair : root.value("pairs", json::array())) {
    ReadPair(pair, tables, now);
  }
  for (const auto& order : root.value("throttles", json::array())) {
    ReadThrottle(order, tables, now);
  }
  return true;
}

}  // namespace chiveglade::sched
