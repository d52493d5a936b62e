// The control interface of the worker stand-in.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_CONTROL_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_CONTROL_H_

#include <string>

#include "chiveglade/core/clock.h"
#include "history.h"
#include "task_table.h"

namespace chiveglade::standin {

struct control_reply {
  int status = 200;
  std::string body;
};

// Carries out one control call: GET /tasks, POST /tasks/<call>, and GET
// /history?from=N with requests from index N on.
control_reply HandleControl(const std::string& method,
                            const std::string& target,
                            const std::string& body,
                            task_table& tasks,
                            const history& past,
                            boot_time now);

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_CONTROL_H_
