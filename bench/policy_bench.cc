// Compares the scheduling policy with baselines on the same seeds. Prints the
// mean and standard deviation of each figure over the seeds. The first argument
// is the number of seeds (20 by default), the second the first seed (1 by
// default). Use seeds from 101 on for validation: the policy is not tuned on
// them.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "bench/policy_model.h"

namespace chiveglade::sched {
namespace {

struct policy {
  const char* name;
  placement_rule placement;
  interference_rule interference;
  bool batch = true;
};

constexpr policy kPolicies[] = {
    {"services alone", placement_rule::kScored, interference_rule::kLearned,
     false},
    {"unprotected", placement_rule::kScored, interference_rule::kIgnore},
    {"first fit", placement_rule::kFirstFit, interference_rule::kIgnore},
    {"least loaded", placement_rule::kLeastLoaded, interference_rule::kIgnore},
    {"no pair knowledge", placement_rule::kScored,
     interference_rule::kReactive},
    {"evict at once", placement_rule::kScored,
     interference_rule::kEvictImmediately},
    {"chiveglade", placement_rule::kScored, interference_rule::kLearned},
};

struct summary {
  double mean = 0;
  double deviation = 0;
};

summary Summarize(const std::vector<run_figures>& runs,
                  double run_figures::*figure) {
  summary result;
  for (const auto& run : runs) {
    result.mean += run.*figure / static_cast<double>(runs.size());
  }
  for (const auto& run : runs) {
    result.deviation += std::pow(run.*figure - result.mean, 2) /
                        static_cast<double>(runs.size());
  }
  result.deviation = std::sqrt(result.deviation);
  return result;
}

std::vector<run_figures> RunSeeds(const policy& which,
                                  uint64_t first,
                                  uint64_t seeds) {
  std::vector<run_figures> runs;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    planner_options options;
    options.placement = which.placement;
    options.interference = which.interference;
    runs.push_back(policy_model(options, which.batch, seed * 7919).Run());
  }
  return runs;
}

void Print(const char* name, const std::vector<run_figures>& runs) {
  std::printf("%-18s", name);
  for (const auto figure :
       {&run_figures::p99, &run_figures::throughput, &run_figures::evictions,
        &run_figures::lost_pct, &run_figures::evacuation_throughput,
        &run_figures::evacuation_lost_pct}) {
    const auto [mean, deviation] = Summarize(runs, figure);
    std::printf(" %8.2f +- %-6.2f", mean, deviation);
  }
  std::printf("\n");
}

void PrintGoal(const char* name, double value, const char* limit, bool met) {
  std::printf("%-48s %6.3f  %s  %s\n", name, value, limit,
              met ? "met" : "MISSED");
}

void Main(uint64_t seeds, uint64_t first) {
  std::printf("%llu seeds, mean +- standard deviation\n",
              static_cast<unsigned long long>(seeds));
  std::printf("%-18s %18s %18s %18s %18s %18s %18s\n", "policy", "p99 slowdown",
              "batch cores", "evictions", "lost %", "departing cores",
              "departing lost %");
  double alone = 0;
  double unprotected = 0;
  for (const auto& which : kPolicies) {
    const auto runs = RunSeeds(which, first, seeds);
    Print(which.name, runs);
    const double p99 = Summarize(runs, &run_figures::p99).mean;
    const double cores = Summarize(runs, &run_figures::throughput).mean;
    alone = which.batch ? alone : p99;
    if (std::string(which.name) == "unprotected") {
      unprotected = cores;
    }
    if (std::string(which.name) == "chiveglade") {
      const double lost =
          Summarize(runs, &run_figures::evacuation_lost_pct).mean;
      PrintGoal("service p99 over services alone", p99 / alone, "<= 1.2",
                p99 <= 1.2 * alone);
      PrintGoal("batch throughput over unprotected", cores / unprotected,
                ">= 0.9", cores >= 0.9 * unprotected);
      PrintGoal("batch work lost in the departure, %", lost, "< 2", lost < 2);
    }
  }
}

}  // namespace
}  // namespace chiveglade::sched

int main(int argc, char** argv) {
  chiveglade::sched::Main(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20,
                          argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1);
  return 0;
}
