#include "chiveglade/store/call_patience.h"

#include <algorithm>

namespace chiveglade::store {

namespace {

// Answers vary by their place in the store's queue.
constexpr int kTimeoutPerAnswerTime = 4;
constexpr int kGrowthAfterSilence = 2;

}  // namespace

call_patience::call_patience(millis usual, millis longest)
    : usual_(usual), longest_(std::max(usual, longest)), timeout_(usual) {}

void call_patience::OnAnswer(millis took) {
  timeout_ = std::clamp(kTimeoutPerAnswerTime * took, usual_, longest_);
}

void call_patience::OnSilence(millis timeout) {
  // Calls that were sent with the same timeout lengthen it once.
  timeout_ =
      std::max(timeout_, std::min(kGrowthAfterSilence * timeout, longest_));
}

}  // namespace chiveglade::store
