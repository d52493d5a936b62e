// Stacks of coroutines, apart from the heap.
#ifndef CHIVEGLADE_NET_COROUTINE_STACK_H_
#define CHIVEGLADE_NET_COROUTINE_STACK_H_

#include <boost/context/stack_context.hpp>

namespace chiveglade::net {

// Allocates stacks of 128 KiB with a guard page, for asio::spawn. A coroutine
// touches a few pages of its stack; on the heap, a stack would also keep those
// that a freed block has touched there. Some free stacks are kept, the others
// are given back to the system. Thread-safe.
class coroutine_stack {
 public:
  // Throws std::bad_alloc if the system has no memory.
  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack);
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_COROUTINE_STACK_H_
