// Which process coordinates: who may take over the role from whom, and when.
//
// Answers two loads: many gateways of unequal size, of which a small one that
// happens to come first would decide for all; and a holder that renews its
// lease but never becomes ready, so that nothing is placed.
#ifndef CHIVEGLADE_WORKFLOW_SUCCESSION_H_
#define CHIVEGLADE_WORKFLOW_SUCCESSION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/workflow/leader_row.h"

namespace chiveglade::workflow {

// Returns how well a VM with this many processors can carry the coordinator, in
// thousandths of a processor. A slow link counts like a slow processor, because
// reports and orders of all VMs pass through it. An unknown link (0) is taken
// as no limit, an unknown processor (0) as the smallest.
uint32_t Fitness(double processors, double link_mbps);

struct succession_options {
  // Time without a write of the holder after which another process takes over.
  // Several renewal intervals, so that one slow answer of the store does not
  // cost the role.
  millis lease{1'400};
  // How long a process that is less fit than the last holder leaves a free role
  // to fitter ones. More than two of their polls.
  millis less_fit_delay{700};
  // How long a released role is left to the successor that the row names.
  millis successor_delay{1'000};
  // How long a holder that renews the role may take to become ready. Doubles
  // with each takeover in a row that was cut short by it, so that some holder
  // finishes however long a recovery takes.
  millis max_recovery{5'000};
  // A holder hands over to a process that is fitter by at least this.
  uint32_t min_gain_percent = 30;
  // How long a holder decides before it hands over: each takeover costs a
  // pause.
  millis min_tenure{2'000};

  friend bool operator==(const succession_options&,
                         const succession_options&) = default;
};

// A process that could hold the role.
struct candidate {
  std::string name;
  std::string address;  // where it receives messages
  uint32_t fitness = 0;

  friend bool operator==(const candidate&, const candidate&) = default;
};

std::string EncodeCandidate(const candidate& in);
result<candidate> DecodeCandidate(const std::string& text);

// What a process without the role has seen of the leader row.
struct leader_observation {
  std::optional<leader_row> row;  // empty: the row does not exist
  // How long the row has not changed, and how long its epoch has been renewed
  // without becoming ready, both while the store answered.
  millis unchanged_for{0};
  millis unready_for{0};

  friend bool operator==(const leader_observation&,
                         const leader_observation&) = default;
};

// Returns true if a process that saw this may take the role now. Takeovers are
// conditional on the row's version, so a wrong answer costs a handover, never
// two deciders.
bool MayTakeOver(const candidate& self,
                 const leader_observation& seen,
                 const succession_options& options);

// Returns true if `rival` is enough fitter than the holder to take its place.
// Fitness is a constant of a VM, so two processes never pass the role to and
// fro.
bool IsFitter(const candidate& rival,
              uint32_t holder_fitness,
              const succession_options& options);

// Returns true if the holder, ready for `ready_for` or not yet ready, gives the
// role to `rival`, which asks for it.
bool ShouldHandOver(const candidate& rival,
                    uint32_t holder_fitness,
                    std::optional<millis> ready_for,
                    const succession_options& options);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_SUCCESSION_H_
