// Exit codes of the chiveglade program. They are stable: scripts rely on them.
#ifndef CHIVEGLADE_APP_EXIT_CODE_H_
#define CHIVEGLADE_APP_EXIT_CODE_H_

namespace chiveglade::app {

enum class exit_code : int {
  kDone = 0,
  kFailed = 1,       // a role could not start or stopped with an error
  kInvalid = 2,      // wrong arguments, settings, manifest, queues or job
  kConflict = 3,     // somebody else changed the same thing first
  kNotAccepted = 4,  // nothing changed, for instance while the store is down
  kUnknown = 5,      // whether it took effect could not be found out
  kNotFound = 6,
  kUnreachable = 7,  // no entry answered; nothing was sent
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_EXIT_CODE_H_
