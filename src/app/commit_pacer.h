// Spaces the coordinator's passes: each places tasks, writes progress and sends
// orders.
#ifndef CHIVEGLADE_APP_COMMIT_PACER_H_
#define CHIVEGLADE_APP_COMMIT_PACER_H_

#include <algorithm>

#include "chiveglade/core/clock.h"

namespace chiveglade::app {

// Answers an overload of the coordinator's VM. The cost of a pass grows with
// the tasks that wait and run, and a pass can follow each commit; on a VM with
// a small processor share passes alone would then keep the event loop busy, and
// reports, which free capacity, would wait behind them. The pause after a pass
// is at least as long as the pass took, so reports and callers get half of the
// time or more, and the next pass has more news to work on.
class commit_pacer {
 public:
  // `interval` is the shortest time between two commits.
  explicit commit_pacer(millis interval) : interval_(interval) {}

  void OnCommit(boot_time now) { next_ = std::max(next_, now + interval_); }
  void OnPass(boot_time began, boot_time ended) {
    next_ = std::max(next_, ended + std::min<boot_clock::duration>(
                                        ended - began, kMaxPause));
  }
  // No pass for a while after a write that failed.
  void Pause(boot_time now, millis time) { next_ = now + time; }
  // True while a pass should wait for news of callers and operators that is
  // overdue by this age. It would decide by what has changed since, and where
  // the processor is what the news wait for, it would keep them waiting. Calls
  // that stay unanswered do not hold passes back for good.
  static bool Yields(millis information_age) {
    return IsOverdue(information_age) && information_age <= kNewsGivenUp;
  }
  static bool IsOverdue(millis information_age) {
    return information_age > kNewsDue;
  }
  // When the next pass may begin.
  boot_time next() const { return next_; }

 private:
  // A longer pass was interrupted, for instance because the VM was frozen.
  static constexpr millis kMaxPause{500};
  // Above twice the wait of a watch and the time of its answers.
  static constexpr millis kNewsDue{1'600};
  static constexpr millis kNewsGivenUp{4'000};

  millis interval_;
  boot_time next_{};
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_COMMIT_PACER_H_
