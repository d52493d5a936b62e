#include "chiveglade/workflow/catalogue.h"

namespace chiveglade::workflow {

const queue_policy* FindQueue(const catalogue& in,
                              std::string_view host,
                              std::string_view path) {
  const queue_policy* best = nullptr;
  for (const auto& queue : in.queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (!best || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const queue_policy* FindQueue(const catalogue& in, std::string_view name) {
  for (const auto& queue : in.queues) {
    if (queue.name == name) {
      return &queue;
    }
  }
  return nullptr;
}

}  // namespace chiveglade::workflow
