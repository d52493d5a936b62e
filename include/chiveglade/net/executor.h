// The event loop types that network code is written against.
#ifndef CHIVEGLADE_NET_EXECUTOR_H_
#define CHIVEGLADE_NET_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace chiveglade::net {

namespace asio = boost::asio;

// Handed to code that runs as a stackful coroutine on an event loop. A call
// that takes one suspends the coroutine, never the thread.
using yield = asio::yield_context;

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_EXECUTOR_H_
