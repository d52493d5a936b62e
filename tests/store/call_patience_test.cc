#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "chiveglade/store/call_patience.h"

namespace chiveglade::store {

namespace {

constexpr millis kUsual{600};
constexpr millis kLongest{1'500};

// Plays callers that each hand one write to a part of the store, which carries
// out one after another, and that repeat a write when it stays unanswered.
// Returns how many callers get an answer within `deadline`.
int PlayPart(millis service,
             millis between_callers,
             millis deadline,
             millis longest) {
  constexpr millis kStep{10};
  constexpr millis kDay{20'000};
  struct write {
    size_t caller;
    millis sent;
  };
  struct caller {
    millis began;
    millis sent;
    millis timeout;
    bool answered = false;
  };
  call_patience patience(kUsual, longest);
  std::vector<caller> callers;
  std::vector<write> queue;
  millis left{0};
  int served = 0;
  for (millis now{0}; now < kDay; now += kStep) {
    if (now % between_callers == millis(0)) {
      callers.push_back({now, now, patience.timeout()});
      queue.push_back({callers.size() - 1, now});
    }
    for (size_t i = 0; i < callers.size(); ++i) {
      auto& one = callers[i];
      if (!one.answered && now - one.began < deadline &&
          now - one.sent >= one.timeout) {
        patience.OnSilence(one.timeout);
        one.sent = now;
        one.timeout = patience.timeout();
        queue.push_back({i, now});
      }
    }
    left += kStep;
    while (!queue.empty() && left >= service) {
      left -= service;
      auto& one = callers[queue.front().caller];
      // The answer to a write that the caller has given up on is not seen.
      if (!one.answered && queue.front().sent == one.sent) {
        one.answered = true;
        patience.OnAnswer(now - one.sent);
        served += now - one.began <= deadline ? 1 : 0;
      }
      queue.erase(queue.begin());
    }
    left = queue.empty() ? millis(0) : left;
  }
  return served;
}

}  // namespace

// Regression (mttla-ladder-large, trouble-2): no job was accepted for six
// seconds while the store took 91 times as long as usual.
TEST_CASE("copies of slow writes do not keep a slow store from catching up") {
  constexpr millis kService{4 * 91};
  constexpr millis kBetween{500};
  constexpr millis kDeadline{3'000};
  const int callers = static_cast<int>(millis(20'000) / kBetween);
  const int fixed = PlayPart(kService, kBetween, kDeadline, kUsual);
  const int adaptive = PlayPart(kService, kBetween, kDeadline, kLongest);
  CHECK(adaptive >= callers * 9 / 10);
  CHECK(adaptive >= fixed);
}

TEST_CASE("the timeout follows the answers") {
  call_patience patience(kUsual, kLongest);
  CHECK(patience.timeout() == kUsual);
  patience.OnSilence(kUsual);
  patience.OnSilence(kUsual);
  CHECK(patience.timeout() == 2 * kUsual);
  patience.OnSilence(2 * kUsual);
  CHECK(patience.timeout() == kLongest);
  patience.OnAnswer(millis(250));
  CHECK(patience.timeout() == millis(1'000));
  patience.OnAnswer(millis(5));
  CHECK(patience.timeout() == kUsual);
}

TEST_CASE("a lost answer among others does not make later calls wait") {
  call_patience patience(kUsual, kLongest);
  patience.OnSilence(kUsual);
  patience.OnAnswer(millis(6));
  CHECK(patience.timeout() == kUsual);
}

}  // namespace chiveglade::store
