#include "chiveglade/store/table_follower.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

namespace chiveglade::store {

namespace {

// Leaves the newest change of each row, in order. Returns true if there were
// older ones.
bool RemoveSuperseded(std::vector<row_change>& changes) {
  std::set<std::string> newest;
  std::vector<row_change> kept;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    if (newest.insert(change->now.key).second) {
      kept.push_back(std::move(*change));
    }
  }
  const bool removed = kept.size() < changes.size();
  std::reverse(kept.begin(), kept.end());
  changes = std::move(kept);
  return removed;
}

}  // namespace

std::unique_ptr<table_follower> table_follower::Make(follower_options options,
                                                     hooks hooks) {
  std::unique_ptr<table_follower> out(
      new table_follower(std::move(options), std::move(hooks)));
  if (out->options_.scan_prefixes.empty()) {
    out->options_.scan_prefixes.push_back(out->options_.prefix);
  }
  out->ScanAll();
  return out;
}

table_follower::table_follower(follower_options options, hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      self_(std::make_shared<table_follower*>(this)) {}

void table_follower::NoteCallSent() {
  if (hooks_.confirmed) {
    sent_at_ = hooks_.clock();
  }
}

void table_follower::Confirm() {
  if (hooks_.confirmed) {
    hooks_.confirmed(sent_at_);
  }
}

void table_follower::ScanAll() {
  NoteCallSent();
  scanned_.clear();
  scans_.clear();
  version_ = UINT64_MAX;
  scans_left_ = options_.scan_prefixes.size();
  for (const auto& prefix : options_.scan_prefixes) {
    Scan(prefix);
  }
}

void table_follower::Scan(const std::string& prefix) {
  scan_options options;
  options.prefix = prefix;
  options.retry_after = options_.retry_after;
  table_scan::hooks to;
  to.table = hooks_.table;
  to.after = hooks_.after;
  to.page = [this](std::vector<row> rows) {
    std::move(rows.begin(), rows.end(), std::back_inserter(scanned_));
  };
  to.finished = [this](uint64_t version) {
    version_ = std::min(version_, version);
    if (--scans_left_ == 0) {
      hooks_.scanned(std::exchange(scanned_, {}));
      Confirm();
      Watch(options_.wait);
    }
  };
  to.lost = [this](const reason& why) { OnLost(why); };
  to.regained = [this] { OnRegained(); };
  scans_.push_back(table_scan::Make(std::move(options), std::move(to)));
  scans_.back()->Start();
}

void table_follower::Watch(millis wait) {
  NoteCallSent();
  hooks_.table.watch(options_.prefix, version_, wait,
                     Guard<result<row_changes>>(&table_follower::OnChanges));
}

void table_follower::OnChanges(result<row_changes> changes) {
  if (!changes) {
    OnLost(changes.last_reason());
    hooks_.after(options_.retry_after, [self = std::weak_ptr(self_)] {
      if (const auto at = self.lock()) {
        (*at)->Watch(millis(0));
      }
    });
    return;
  }
  OnRegained();
  if (changes->history_lost) {
    ScanAll();
    return;
  }
  version_ = std::max(version_, changes->version);
  const bool is_behind = RemoveSuperseded(changes->rows);
  if (!changes->rows.empty()) {
    hooks_.changed(changes->rows);
  }
  Confirm();
  if (is_behind && options_.rescan_if_behind) {
    ScanAll();
  } else {
    Watch(options_.wait);
  }
}

void table_follower::OnRegained() {
  if (std::exchange(failing_, false) && hooks_.regained) {
    hooks_.regained();
  }
}

void table_follower::OnLost(const reason& why) {
  if (!std::exchange(failing_, true) && hooks_.lost) {
    hooks_.lost(why);
  }
}

}  // namespace chiveglade::store
