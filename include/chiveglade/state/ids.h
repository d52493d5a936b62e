// Identifiers of jobs, tasks and attempts. The lint exceptions are for a false
// alarm of clang-tidy 14 on the generated code of defaulted comparisons.
#ifndef CHIVEGLADE_STATE_IDS_H_
#define CHIVEGLADE_STATE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace chiveglade::state {

// One task of a job. A service's replicas are the tasks of a job whose name is
// "service:" followed by the service's name.
struct task_id {
  std::string job;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const task_id&, const task_id&) = default;
};

// One try at running a task. Numbers start at 1 and only grow, so an older
// attempt's messages and checkpoints can be told from a newer one's.
struct attempt_id {
  task_id task;
  uint32_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// A VM as it is now: a replaced or restarted VM has the same name and another
// incarnation. Incarnations are random and not ordered.
struct vm_id {
  std::string name;
  uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const vm_id&, const vm_id&) = default;
};

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_IDS_H_
