#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <ostream>

#include "agent_world.h"

namespace chiveglade::testing {

namespace {

enum class step {
  kRound,
  kPass,
  kPassLong,
  kJump,
  kTick,
  kHeartbeat,
  kCall,
  kAnswer,
  kRestartAgent,
  kRestartWorker,
  kGrant,
  kStop,
  kFinish,
};

void Take(agent_world& world, step what, uint8_t amount) {
  switch (what) {
    case step::kRound:
      return world.Round(millis(amount / 2));
    case step::kPass:
      return world.Pass(millis(amount));
    case step::kPassLong:
      return world.Pass(millis(amount * 10));
    case step::kJump:
      return world.Pass(millis(amount * 200));
    case step::kTick:
      return world.TickAgent();
    case step::kHeartbeat:
      return world.SendHeartbeat();
    case step::kCall:
      return world.DeliverCall();
    case step::kAnswer:
      return world.DeliverAnswer();
    case step::kRestartAgent:
      return world.RestartAgent();
    case step::kRestartWorker:
      return world.RestartWorker();
    case step::kGrant:
      return world.GrantTask();
    case step::kStop:
      return world.StopTask();
    case step::kFinish:
      return world.FinishTask();
  }
}

struct world_step {
  step what;
  uint8_t amount;
};

// Prints a step of a failing scenario.
std::ostream& operator<<(std::ostream& out, const world_step& in) {
  return out << static_cast<int>(in.what) << '/' << int{in.amount};
}

rc::Gen<world_step> Steps() {
  return rc::gen::construct<world_step>(
      rc::gen::weightedElement<step>({{60, step::kRound},
                                      {8, step::kPass},
                                      {2, step::kPassLong},
                                      {1, step::kJump},
                                      {6, step::kTick},
                                      {6, step::kHeartbeat},
                                      {8, step::kCall},
                                      {6, step::kAnswer},
                                      {1, step::kRestartAgent},
                                      {1, step::kRestartWorker},
                                      {12, step::kGrant},
                                      {3, step::kStop},
                                      {4, step::kFinish}}),
      rc::gen::arbitrary<uint8_t>());
}

}  // namespace

// Guards against a VM above capacity, two attempts of one task at once, a start
// after its validity, a task that runs past its grant, and an end that is lost
// or untrue, under lost, late and repeated messages, restarts and clock jumps.
TEST_CASE("agent_core keeps its rules under random faults") {
  uint64_t ran = 0;
  uint64_t scenarios = 0;
  CHECK(rc::check([&](uint64_t seed) {
    constexpr int kMaxSteps = 900;
    agent_world world(seed);
    const auto steps = *rc::gen::resize(
        kMaxSteps, rc::gen::container<std::vector<world_step>>(Steps()));
    for (const auto& [what, amount] : steps) {
      Take(world, what, amount);
    }
    world.Settle();
    RC_ASSERT(world.Problems() == std::vector<std::string>());
    for (const auto& [name, task] : world.tasks()) {
      RC_ASSERT(!task.held);
    }
    RC_ASSERT(world.core().unacknowledged() == 0u);
    RC_ASSERT(world.core().used() == resources());
    ++scenarios;
    ran += world.worker().history().size();
  }));
  // The property says little if the faults kept everything from running.
  CHECK(ran > 4 * scenarios);
}

}  // namespace chiveglade::testing
