#include "chiveglade/workflow/succession.h"

#include <algorithm>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

namespace {

// A link that does not limit the coordinator of a few hundred VMs.
constexpr double kAmpleLinkMbps = 50;
constexpr double kMillicoresPerCore = 1'000;
constexpr uint32_t kMaxPatienceDoublings = 4;

}  // namespace

uint32_t Fitness(double processors, double link_mbps) {
  const double link =
      link_mbps == 0 ? kAmpleLinkMbps : std::min(link_mbps, kAmpleLinkMbps);
  return std::max(1U, static_cast<uint32_t>(processors * kMillicoresPerCore *
                                            link / kAmpleLinkMbps));
}

std::string EncodeCandidate(const candidate& in) {
  return state::WriteCbor(state::Row(in.name, in.address, in.fitness));
}

result<candidate> DecodeCandidate(const std::string& text) {
  auto parsed = state::ParseCborArray(text, "the candidate");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  candidate out;
  out.name = in.Text();
  out.address = in.Text();
  out.fitness = in.Int<uint32_t>();
  if (!in.Finished()) {
    return reason{"corrupt", "the candidate has the wrong fields"};
  }
  return out;
}

bool MayTakeOver(const candidate& self,
                 const leader_observation& seen,
                 const succession_options& options) {
  if (!seen.row) {
    return true;
  }
  const auto& row = *seen.row;
  const millis others_first =
      self.fitness < row.fitness ? options.less_fit_delay : millis(0);
  if (row.released) {
    if (row.successor == self.name) {
      return true;
    }
    return seen.unchanged_for >=
           (row.successor.empty()
                ? others_first
                : std::max(others_first, options.successor_delay));
  }
  if (row.holder == self.name) {
    return true;  // Held by an earlier incarnation of this process.
  }
  const auto patience =
      options.max_recovery *
      (1U << std::min(row.failed_takeovers, kMaxPatienceDoublings));
  return seen.unchanged_for >= options.lease + others_first ||
         (!row.ready && seen.unready_for >= patience);
}

bool IsFitter(const candidate& rival,
              uint32_t holder_fitness,
              const succession_options& options) {
  constexpr uint64_t kPercent = 100;
  return uint64_t{rival.fitness} * kPercent >=
         uint64_t{holder_fitness} * (kPercent + options.min_gain_percent);
}

bool ShouldHandOver(const candidate& rival,
                    uint32_t holder_fitness,
                    std::optional<millis> ready_for,
                    const succession_options& options) {
  return IsFitter(rival, holder_fitness, options) &&
         (!ready_for || *ready_for >= options.min_tenure);
}

}  // namespace chiveglade::workflow
