#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "chiveglade/workflow/succession.h"

namespace chiveglade::workflow {

namespace {

constexpr succession_options kOptions{};
const candidate kSmall{"small", "small:1", 69};
const candidate kLarge{"large", "large:1", 500};

leader_row HeldBy(const candidate& holder) {
  leader_row out;
  out.epoch = 3;
  out.holder = holder.name;
  out.address = holder.address;
  out.fitness = holder.fitness;
  out.ready = true;
  return out;
}

}  // namespace

TEST_CASE("a slow link makes a VM less fit") {
  CHECK(Fitness(0.5, 200) == 500);
  CHECK(Fitness(0.5, 0) == 500);
  CHECK(Fitness(0.15, 1'000) > Fitness(0.15, 10));
  CHECK(Fitness(0, 0) > 0);
}

TEST_CASE("a free role is left to fitter processes for a while") {
  auto row = HeldBy(kLarge);
  row.released = true;
  CHECK(MayTakeOver({"other", "", 500}, {row, millis(0), millis(0)}, kOptions));
  CHECK_FALSE(MayTakeOver(kSmall, {row, millis(0), millis(0)}, kOptions));
  CHECK(
      MayTakeOver(kSmall, {row, kOptions.less_fit_delay, millis(0)}, kOptions));
}

TEST_CASE("an expired lease is taken by the fitter processes first") {
  const auto row = HeldBy(kLarge);
  const candidate equal{"other", "", 500};
  CHECK_FALSE(
      MayTakeOver(equal, {row, kOptions.lease - millis(1), {}}, kOptions));
  CHECK(MayTakeOver(equal, {row, kOptions.lease, {}}, kOptions));
  CHECK_FALSE(MayTakeOver(kSmall, {row, kOptions.lease, {}}, kOptions));
  CHECK(MayTakeOver(kSmall, {row, kOptions.lease + kOptions.less_fit_delay, {}},
                    kOptions));
}

TEST_CASE("a holder that is not ready has longer after each failed takeover") {
  auto row = HeldBy(kLarge);
  row.ready = false;
  const auto patience = [&] {
    millis out{0};
    while (!MayTakeOver(kSmall, {row, millis(0), out}, kOptions)) {
      out += millis(100);
    }
    return out;
  };
  const auto first = patience();
  row.failed_takeovers = 2;
  CHECK(patience() == 4 * first);
  row.ready = true;
  CHECK_FALSE(
      MayTakeOver(kSmall, {row, millis(0), millis(1'000'000)}, kOptions));
}

TEST_CASE("a holder hands over once it has decided for a while") {
  CHECK_FALSE(ShouldHandOver(kLarge, kSmall.fitness, millis(500), kOptions));
  CHECK(ShouldHandOver(kLarge, kSmall.fitness, kOptions.min_tenure, kOptions));
  // One that has not recovered yet does not finish first.
  CHECK(ShouldHandOver(kLarge, kSmall.fitness, std::nullopt, kOptions));
  CHECK_FALSE(ShouldHandOver({"other", "", 80}, kSmall.fitness,
                             kOptions.min_tenure, kOptions));
}

TEST_CASE("two processes never pass the role to and fro") {
  rc::prop("at most one of two is fitter than the other", [] {
    const auto a = *rc::gen::inRange<uint32_t>(1, 100'000);
    const auto b = *rc::gen::inRange<uint32_t>(1, 100'000);
    RC_ASSERT(!(IsFitter({"a", "", a}, b, kOptions) &&
                IsFitter({"b", "", b}, a, kOptions)));
  });
}

TEST_CASE("candidates survive their encoding") {
  CHECK(*DecodeCandidate(EncodeCandidate(kLarge)) == kLarge);
  CHECK_FALSE(DecodeCandidate("not CBOR"));
}

}  // namespace chiveglade::workflow
