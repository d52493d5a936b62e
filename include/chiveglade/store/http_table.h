// The table service over HTTP.
#ifndef CHIVEGLADE_STORE_HTTP_TABLE_H_
#define CHIVEGLADE_STORE_HTTP_TABLE_H_

#include <boost/asio/any_io_executor.hpp>

#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/store/http_store_options.h"
#include "chiveglade/store/table.h"

namespace chiveglade::store {

// Hooks that call the service with JSON over HTTP/1.1. Sockets run on `loop`;
// every callback is posted to `callbacks`, never run inside the hook. The hooks
// are thread-safe, share their state, and can outlive what made them, but not
// `loop`.
//
// A commit is kNotApplied if no byte was sent, if the service refused it (429,
// 503, or 4xx for a malformed call) or if too many calls are in flight; it is
// kConflict on 409, and kUnknown after anything else that is not a complete
// answer, including a timeout. Reads fail with "store_refused" or
// "store_answer_lost" in the same cases.
//
// Reason "bad_settings" if there is no endpoint.
result<table_service> MakeHttpTable(net::asio::io_context& loop,
                                    net::asio::any_io_executor callbacks,
                                    const http_store_options& options);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_HTTP_TABLE_H_
