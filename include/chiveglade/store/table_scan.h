// Reads all rows of a table, however slow the link to the store is.
#ifndef CHIVEGLADE_STORE_TABLE_SCAN_H_
#define CHIVEGLADE_STORE_TABLE_SCAN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/store/table.h"

namespace chiveglade::store {

struct scan_options {
  std::string prefix;       // the table's name and '/'
  size_t page_rows = 64;    // limit of the first page
  millis retry_after{150};  // wait before a failed page is asked for again
  friend bool operator==(const scan_options&, const scan_options&) = default;
};

// Reads the rows page by page and goes on after the last page that arrived if a
// call fails. Pages shrink when one fails and grow while they arrive, so a scan
// advances over any link that can carry a few rows within the timeout of a
// call. Single thread; the table must have the optional hook `page`.
class table_scan {
 public:
  struct hooks {
    table_service table;
    // Calls back once after a time.
    std::function<void(millis, std::function<void()>)> after;
    // The rows of the next page, in key order.
    std::function<void(std::vector<row>)> page;
    // All pages have arrived. `version` is that of the first: changes while
    // later pages were read come again by a watch from there.
    std::function<void(uint64_t version)> finished;
    // Optional: a page failed, or the first one arrived since.
    std::function<void(const reason&)> lost;
    std::function<void()> regained;
  };

  // Destroying the scan ends it. Of its own hooks, only `finished` may do so.
  static std::unique_ptr<table_scan> Make(scan_options options, hooks hooks);
  // Asks for the first page. Call it once.
  void Start();

 private:
  table_scan(scan_options options, hooks hooks);

  void Ask();
  void OnPage(result<row_page> page);
  void Retry(const reason& why);

  scan_options options_;
  hooks hooks_;
  std::string after_;  // last key that arrived
  uint64_t version_ = 0;
  bool failing_ = false;
  std::shared_ptr<table_scan*> self_;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_TABLE_SCAN_H_
