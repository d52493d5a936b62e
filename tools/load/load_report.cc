#include "tools/load/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chiveglade::load {

namespace {

// Quantiles with their largest rank errors. The window is longer than any run.
const prometheus::Summary::Quantiles kQuantiles = {{0.5, 0.005},
                                                   {0.9, 0.002},
                                                   {0.99, 0.0005},
                                                   {0.999, 0.0001}};
constexpr std::chrono::hours kWindow{24};

}  // namespace

load_report::load_report(const std::string& record_file) {
  if (!record_file.empty()) {
    record_.open(record_file);
  }
}

void load_report::Add(const observation& seen) {
  ++total_;
  ++verdicts_[seen.verdict];
  ++statuses_[seen.status];
  wrong_ += seen.wrong ? 1 : 0;
  broken_ += seen.broken ? 1 : 0;
  if (record_.is_open()) {
    record_ << seen.id << ' ' << (seen.key.empty() ? "-" : seen.key) << ' '
            << seen.verdict << ' ' << seen.status << '\n';
  }
  if (seen.verdict != "ran") {
    return;
  }
  auto& figures = classes_[seen.klass];
  if (!figures.latency) {
    figures.latency =
        std::make_unique<prometheus::Summary>(kQuantiles, kWindow, 1);
  }
  figures.latency->Observe(static_cast<double>(seen.latency.count()));
  figures.longest = std::max(figures.longest, seen.latency);
}

uint64_t load_report::CountOf(const std::string& verdict) const {
  const auto at = verdicts_.find(verdict);
  return at == verdicts_.end() ? 0 : at->second;
}

std::string load_report::ToJson(std::chrono::milliseconds length) const {
  nlohmann::json out = {{"requests", total_},
                        {"seconds", static_cast<double>(length.count()) / 1e3},
                        {"wrong_answers", wrong_},
                        {"broken_answers", broken_},
                        {"verdicts", verdicts_}};
  out["statuses"] = nlohmann::json::object();
  for (const auto& [status, count] : statuses_) {
    out["statuses"][std::to_string(status)] = count;
  }
  out["latency_us"] = nlohmann::json::object();
  for (const auto& [klass, figures] : classes_) {
    auto& at = out["latency_us"][klass];
    const auto summary = figures.latency->Collect().summary;
    at["count"] = summary.sample_count;
    for (const auto& each : summary.quantile) {
      std::ostringstream name;
      name << 'p' << each.quantile * 100;
      at[name.str()] = each.value;
    }
    at["max"] = figures.longest.count();
  }
  return out.dump(2);
}

}  // namespace chiveglade::load
