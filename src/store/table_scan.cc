#include "chiveglade/store/table_scan.h"

#include <algorithm>
#include <utility>

namespace chiveglade::store {

namespace {

constexpr size_t kMinPageRows = 4;
constexpr size_t kMaxPageRows = 500;
constexpr size_t kGrowth = 2;

}  // namespace

std::unique_ptr<table_scan> table_scan::Make(scan_options options,
                                             hooks hooks) {
  return std::unique_ptr<table_scan>(
      new table_scan(std::move(options), std::move(hooks)));
}

table_scan::table_scan(scan_options options, hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      self_(std::make_shared<table_scan*>(this)) {}

void table_scan::Start() {
  Ask();
}

void table_scan::Ask() {
  hooks_.table.page(options_.prefix, after_, options_.page_rows,
                    [self = std::weak_ptr(self_)](result<row_page> page) {
                      if (const auto at = self.lock()) {
                        (*at)->OnPage(std::move(page));
                      }
                    });
}

void table_scan::OnPage(result<row_page> page) {
  if (!page) {
    Retry(page.last_reason());
    return;
  }
  if (std::exchange(failing_, false) && hooks_.regained) {
    hooks_.regained();
  }
  if (version_ == 0) {
    version_ = page->version;
  }
  options_.page_rows = std::min(options_.page_rows * kGrowth, kMaxPageRows);
  const bool more = page->more && !page->rows.empty();
  if (!page->rows.empty()) {
    after_ = page->rows.back().key;
    hooks_.page(std::move(page->rows));
  }
  if (more) {
    Ask();
  } else {
    hooks_.finished(version_);
  }
}

void table_scan::Retry(const reason& why) {
  options_.page_rows = std::max(options_.page_rows / kGrowth, kMinPageRows);
  if (!std::exchange(failing_, true) && hooks_.lost) {
    hooks_.lost(why);
  }
  hooks_.after(options_.retry_after, [self = std::weak_ptr(self_)] {
    if (const auto at = self.lock()) {
      (*at)->Ask();
    }
  });
}

}  // namespace chiveglade::store
