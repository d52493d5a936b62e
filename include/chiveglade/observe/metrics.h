// Counters, gauges and histograms of one process.
#ifndef CHIVEGLADE_OBSERVE_METRICS_H_
#define CHIVEGLADE_OBSERVE_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace chiveglade::observe {

using labels = std::map<std::string, std::string>;

enum class metric_kind { kCounter, kGauge, kHistogram };

// A metric that a process may report, with what it means to an operator.
struct metric_info {
  std::string name;
  metric_kind kind = metric_kind::kCounter;
  std::vector<std::string> label_names;
  std::string meaning;

  friend bool operator==(const metric_info&, const metric_info&) = default;
};

// Every metric of the program. docs/metrics.md is checked against it.
const std::vector<metric_info>& MetricCatalogue();

// A Markdown table of the catalogue.
std::string CatalogueMarkdown();

// Thread-safe. A name must be in the catalogue and the label names must be the
// ones listed there. Label values must come from a bounded set, such as the
// tenants and classes of the manifest, never from a caller.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void Increment(const std::string& name, const labels& at, double by = 1);
  void Set(const std::string& name, const labels& at, double value);
  // `seconds` is a duration; the buckets reach from 0.25 ms to 60 s.
  void Observe(const std::string& name, const labels& at, double seconds);

  // The Prometheus text format.
  std::string Text() const;

 private:
  struct families;

  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<families> families_;
};

}  // namespace chiveglade::observe

#endif  // CHIVEGLADE_OBSERVE_METRICS_H_
