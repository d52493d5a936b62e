// What a run of the load generator has seen.
#ifndef CHIVEGLADE_TOOLS_LOAD_LOAD_REPORT_H_
#define CHIVEGLADE_TOOLS_LOAD_LOAD_REPORT_H_

#include <prometheus/summary.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>

namespace chiveglade::load {

// How one request ended.
struct observation {
  std::string id;
  std::string key;  // empty without one
  std::string klass;
  std::string verdict;  // as told; "ran" if there is an answer without one
  int status = 0;       // 0: no answer
  bool wrong = false;   // the answer belongs to another request
  bool broken = false;  // the answer began and did not end
  std::chrono::microseconds latency{0};
};

// Counts and percentiles. One thread.
class load_report {
 public:
  // With a file name, each request is also written there as one line: ID, key
  // or "-", verdict, status.
  explicit load_report(const std::string& record_file);

  void Add(const observation& seen);

  uint64_t wrong() const { return wrong_; }
  uint64_t broken() const { return broken_; }
  uint64_t total() const { return total_; }
  uint64_t CountOf(const std::string& verdict) const;

  // All figures as JSON.
  std::string ToJson(std::chrono::milliseconds length) const;

 private:
  struct class_figures {
    std::unique_ptr<prometheus::Summary> latency;
    std::chrono::microseconds longest{0};
  };

  std::ofstream record_;
  std::map<std::string, uint64_t> verdicts_;
  std::map<int, uint64_t> statuses_;
  std::map<std::string, class_figures> classes_;  // of whole answers only
  uint64_t wrong_ = 0;
  uint64_t broken_ = 0;
  uint64_t total_ = 0;
};

}  // namespace chiveglade::load

#endif  // CHIVEGLADE_TOOLS_LOAD_LOAD_REPORT_H_
