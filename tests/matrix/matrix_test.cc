#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "tests/matrix/matrix_world.h"

namespace chiveglade::testing {

namespace {

std::string CellName(const std::string& planner,
                     const std::string& fault,
                     size_t step) {
  std::string out = planner;
  out.append(":").append(fault).append(":").append(kMatrixSteps[step]);
  return out;
}

// Runs one cell. If it fails, prints how to repeat it and returns false.
bool RunCell(const std::string& planner,
             const std::string& fault,
             size_t step,
             size_t& injected) {
  matrix_world world(planner == "scored");
  world.Inject(fault, static_cast<matrix_step>(step));
  world.Run();
  injected += world.injected() ? 1 : 0;
  if (world.problem().empty() && world.starts() >= 10) {
    return true;
  }
  const std::string cell = CellName(planner, fault, step);
  std::cout << "cell " << cell << ": " << world.problem()
            << "\n  repeat with: CHIVEGLADE_CELL=" << cell
            << " build/tests/matrix/matrix_test\n";
  return false;
}

}  // namespace

// Guards against any single fault, at any protocol step, that violates an
// invariant: a VM committed beyond its capacity, a task that runs on two VMs,
// an attempt that starts twice, a start more than 3 s after its data centre was
// taken out, or work that never finishes.
TEST_CASE("every fault at every protocol step leaves the invariants intact") {
  const char* const chosen = std::getenv("CHIVEGLADE_CELL");
  size_t cells = 0;
  size_t failed = 0;
  size_t injected = 0;
  for (const std::string planner : {"first_fit", "scored"}) {
    for (const auto& fault : MatrixFaults()) {
      for (size_t step = 0; step < kMatrixSteps.size(); ++step) {
        if (chosen && CellName(planner, fault, step) != chosen) {
          continue;
        }
        ++cells;
        failed += RunCell(planner, fault, step, injected) ? 0 : 1;
      }
    }
  }
  std::cout << "matrix: " << cells << " cells, fault injected in " << injected
            << ", failed " << failed << "\n";
  CHECK(failed == 0);
  CHECK(cells > 0);
  // A fault at a step that is never reached tests nothing.
  CHECK(injected == cells);
}

// Guards against invariants that hold under each fault alone and are violated
// when faults overlap or repeat.
TEST_CASE("overlapping random faults leave the invariants intact") {
  constexpr uint64_t kRuns = 300;
  const char* const chosen = std::getenv("CHIVEGLADE_SEED");
  const auto faults = MatrixFaults();
  size_t failed = 0;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    if (chosen && std::to_string(seed) != chosen) {
      continue;
    }
    random_engine random(seed);
    matrix_world world(seed % 2 == 0, seed);
    std::string injected;
    for (uint64_t count = 2 + random() % 5; count > 0; --count) {
      const auto& fault = faults[random() % faults.size()];
      const auto time = static_cast<int64_t>(random() % 60'000);
      world.InjectAfter(fault, millis(time));
      injected.append(" ").append(fault).append("@").append(
          std::to_string(time));
    }
    world.Run();
    if (!world.problem().empty()) {
      ++failed;
      std::cout << "seed " << seed << " with" << injected << ": "
                << world.problem()
                << "\n  repeat with: CHIVEGLADE_SEED=" << seed
                << " build/tests/matrix/matrix_test\n";
    }
  }
  std::cout << "random faults: " << kRuns << " runs, failed " << failed << "\n";
  CHECK(failed == 0);
}

}  // namespace chiveglade::testing
