// Random events, many of them valid for a given state, for property tests.
#ifndef CHIVEGLADE_TESTS_STATE_EVENT_GENERATOR_H_
#define CHIVEGLADE_TESTS_STATE_EVENT_GENERATOR_H_

#include <string>

#include "chiveglade/core/random.h"
#include "chiveglade/state/cluster_state.h"

namespace chiveglade::testing {

class event_generator {
 public:
  explicit event_generator(uint64_t seed) : engine_(seed) {}

  // Names come from small sets, so that events meet each other.
  state::event Next(const state::cluster_state& at) {
    switch (Below(14)) {
      case 0:
        return state::job_submitted{Spec()};
      case 1:
        return OneOf<state::event>(state::job_cancelled{Job()},
                                   state::job_retired{Job()});
      case 2:
        return state::job_parked{Job(), Below(2) ? "no room" : ""};
      case 3:
        return state::job_resized{Job(), Below(5)};
      case 4:
        return state::vm_joined{Vm(), "dc", "rack", {Below(5), Below(5), 1}};
      case 5:
        return OneOf<state::event>(state::vm_left{Vm()},
                                   state::vm_drained{Vm().name, Below(2) == 0});
      case 6:
        return state::vm_quarantined{Vm().name, Below(2) == 0, Below(3)};
      case 7:
        return state::command_done{"c" + std::to_string(Below(40)), true, ""};
      case 8:
        return state::attempt_running{Attempt(at, 0)};
      case 9:
        return state::attempt_stopping{Attempt(at, 0), "preempted"};
      case 10:
        return state::attempt_ended{
            Attempt(at, 0), static_cast<state::attempt_end>(Below(5)),
            Below(2) ? "checkpoint/1" : "", millis(Below(100)), "detail"};
      default:
        return state::attempt_granted{Attempt(at, 1), KnownVm(at)};
    }
  }

  uint32_t Below(uint32_t limit) {
    return static_cast<uint32_t>(engine_() % limit);
  }

 private:
  template <typename T>
  T OneOf(T a, T b) {
    return Below(2) ? a : b;
  }
  std::string Job() { return "j" + std::to_string(Below(4)); }
  state::vm_id Vm() { return {"v" + std::to_string(Below(3)), Below(3)}; }
  state::vm_id KnownVm(const state::cluster_state& at) {
    const auto guess = Vm();
    const auto* known = at.FindVm(guess.name);
    return known && Below(8) ? known->id : guess;
  }
  // The newest attempt of a task plus `ahead`, or rarely another number.
  state::attempt_id Attempt(const state::cluster_state& at, uint32_t ahead) {
    const state::task_id id{Job(), Below(4)};
    const auto* found = at.FindTask(id);
    const uint32_t newest = found ? found->attempt : 0;
    return {id, Below(10) ? newest + ahead : Below(4)};
  }
  state::job_spec Spec() {
    state::job_spec spec;
    spec.name = Job();
    spec.tenant = "t" + std::to_string(Below(2));
    spec.klass = "batch";
    spec.priority = static_cast<state::band>(Below(4));
    spec.tasks = Below(4);
    spec.per_task = {Below(4), Below(3), Below(2)};
    spec.max_failures = 1 + Below(2);
    spec.data_centres = {"dc"};
    spec.payload = std::string("\xff\0p", 3);
    return spec;
  }

  random_engine engine_;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_STATE_EVENT_GENERATOR_H_
