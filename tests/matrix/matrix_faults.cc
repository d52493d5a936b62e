// The faults of the matrix.
#include <utility>

#include "chiveglade/authority/commands.h"
#include "tests/matrix/matrix_world.h"

namespace chiveglade::testing {

// Gives the fault actions access to the world's members.
struct matrix_faults_table {
  using action = std::function<void(matrix_world&)>;
  using world = matrix_world;

  static void KillHolder(world& at) {
    if (auto* held = at.holder()) {
      std::erase_if(at.entries_, [held](const auto& entry) {
        return entry.second.get() == held;
      });
      at.AddEntry("e" + std::to_string(++at.entry_number_));
    }
  }
  static void KillAll(world& at) {
    at.entries_.clear();
    at.At(at.now_ + millis(2'000), [&at] {
      at.AddEntry("e" + std::to_string(++at.entry_number_));
      at.AddEntry("e" + std::to_string(++at.entry_number_));
    });
  }
  static void PauseHolder(world& at, millis length) {
    for (const auto& [name, entry] : at.entries_) {
      if (entry->holds_role()) {
        at.paused_until_[name] = at.now_ + length;
      }
    }
  }
  static void ReleaseRole(world& at) {
    for (const auto& [name, entry] : at.entries_) {
      if (entry->holds_role()) {
        entry->Release([&at, name = name] {
          at.At(at.now_, [&at, name] { at.entries_.erase(name); });
        });
        at.AddEntry("e" + std::to_string(++at.entry_number_));
        return;
      }
    }
  }
  static void KillVm(world& at, size_t vm, millis length) {
    auto& dead = *at.vms_[vm];
    at.vm_reports_lost_ = true;
    dead.dead_until = at.now_ + length;
    at.At(dead.dead_until, [&at, &dead] { at.RestartVm(dead); });
  }
  // Kills a VM; 3 s later an operator declares it gone.
  static void KillVmAndDeclareGone(world& at) {
    KillVm(at, 1, millis(30'000));
    at.At(at.now_ + millis(3'000), [&at] {
      authority::SendCommand(at.store_.table(),
                             authority::WorkerGone("ann", "v2", 0, "r1"),
                             [](const authority::command_outcome&) {});
    });
  }
  static void DrainTwice(world& at) {
    for (const bool drained : {true, false}) {
      at.At(at.now_ + millis(drained ? 0 : 4'000), [&at, drained] {
        authority::SendCommand(
            at.store_.table(),
            authority::DrainWorker("ann", "v1", drained, "r"),
            [](const authority::command_outcome&) {});
      });
    }
  }
  static void HoldCommits(world& at, bool drop) {
    at.SetStoreFault(store_fault::kHold, true, millis(4'500));
    at.At(at.now_ + millis(4'500), [&at, drop] {
      drop ? at.store_.DropHeld() : at.store_.ReleaseHeld();
    });
  }
  static void HoldAll(world& at) {
    at.SetStoreFault(store_fault::kHold, false, millis(2'000));
    at.At(at.now_ + millis(2'000), [&at] { at.store_.ReleaseHeld(); });
  }

  static const std::vector<std::pair<std::string, action>>& All() {
    static const std::vector<std::pair<std::string, action>> all = {
        {"commits_held", [](world& at) { HoldCommits(at, false); }},
        {"commits_held_and_dropped", [](world& at) { HoldCommits(at, true); }},
        {"store_slow", HoldAll},
        {"commit_answers_lost",
         [](world& at) {
           at.SetStoreFault(store_fault::kLoseAnswer, true, millis(3'000));
         }},
        {"commit_requests_lost",
         [](world& at) {
           at.SetStoreFault(store_fault::kLoseRequest, true, millis(3'000));
         }},
        {"commits_refused",
         [](world& at) {
           at.SetStoreFault(store_fault::kRefuse, true, millis(4'000));
         }},
        {"store_down",
         [](world& at) {
           at.SetStoreFault(store_fault::kLoseRequest, false, millis(15'000));
         }},
        {"holder_dies", KillHolder},
        {"all_entries_die", KillAll},
        {"holder_paused", [](world& at) { PauseHolder(at, millis(6'000)); }},
        {"holder_paused_briefly",
         [](world& at) { PauseHolder(at, millis(2'500)); }},
        {"role_released", ReleaseRole},
        {"vm_replaced_at_once", [](world& at) { KillVm(at, 0, millis(100)); }},
        {"vm_dies_for_long", [](world& at) { KillVm(at, 2, millis(60'000)); }},
        {"worker_gone", KillVmAndDeclareGone},
        {"agent_restarted",
         [](world& at) {
           for (auto& vm : at.vms_) {
             at.StartAgent(*vm);
           }
         }},
        {"agent_frozen",
         [](world& at) { at.vms_[0]->frozen_until = at.now_ + millis(8'000); }},
        {"vm_partitioned",
         [](world& at) {
           // Exceeds the run lease.
           at.vm_reports_lost_ = true;
           at.vms_[1]->cut_off_until = at.now_ + millis(40'000);
         }},
        {"messages_dropped",
         [](world& at) { at.drop_messages_until_ = at.now_ + millis(5'000); }},
        {"answers_dropped",
         [](world& at) { at.drop_answers_until_ = at.now_ + millis(8'000); }},
        {"messages_delayed_and_reordered",
         [](world& at) {
           at.delay_messages_until_ = at.now_ + millis(15'000);
         }},
        {"messages_doubled",
         [](world& at) {
           at.duplicate_until_ = at.now_ + millis(15'000);
           at.delay_messages_until_ = at.duplicate_until_;
         }},
        {"worker_answers_lost",
         [](world& at) {
           at.drop_worker_answers_until_ = at.now_ + millis(4'000);
         }},
        {"worker_unreachable",
         [](world& at) {
           at.worker_unreachable_until_ = at.now_ + millis(4'000);
         }},
        {"data_centre_taken_out", [](world& at) { at.ChangeDataCentre(true); }},
        {"vm_drained_and_undrained", DrainTwice},
    };
    return all;
  }
};

std::vector<std::string> MatrixFaults() {
  std::vector<std::string> out;
  for (const auto& [name, action] : matrix_faults_table::All()) {
    out.push_back(name);
  }
  return out;
}

void matrix_world::OnStepReached(matrix_step step) {
  if (step != fault_step_ || injected_) {
    return;
  }
  injected_ = true;
  // Deferred: faults may destroy the object whose callback reached the step.
  At(now_, [this] { TriggerFault(fault_); });
}

void matrix_world::TriggerFault(const std::string& fault) {
  for (const auto& [name, action] : matrix_faults_table::All()) {
    if (name == fault) {
      action(*this);
    }
  }
}

}  // namespace chiveglade::testing
