// The recent peak of a figure that swings.
#ifndef CHIVEGLADE_WORKFLOW_DECAYING_PEAK_H_
#define CHIVEGLADE_WORKFLOW_DECAYING_PEAK_H_

#include "chiveglade/core/clock.h"

namespace chiveglade::workflow {

// Follows a figure upwards at once and downwards slowly.
//
// Answers this load: serving tasks whose own load swings within some ten
// seconds, all tasks of an image together. Best-effort tasks that are placed by
// the latency of the moment fill the troughs and have to be throttled at every
// peak, until then at the expense of the serving tasks.
class decaying_peak {
 public:
  void Update(double value, boot_time now);
  // The peak as of the last update; 0 before the first one.
  double value() const { return value_; }

  friend bool operator==(const decaying_peak&, const decaying_peak&) = default;

 private:
  double value_ = 0;
  boot_time updated_at_{};
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_DECAYING_PEAK_H_
