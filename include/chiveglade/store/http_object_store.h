// The object store over HTTP.
#ifndef CHIVEGLADE_STORE_HTTP_OBJECT_STORE_H_
#define CHIVEGLADE_STORE_HTTP_OBJECT_STORE_H_

#include <boost/asio/any_io_executor.hpp>

#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/store/http_store_options.h"
#include "chiveglade/store/object_store.h"

namespace chiveglade::store {

// Hooks that call the service over HTTP/1.1, with the threading rules of
// MakeHttpTable. Calls fail with "store_refused" if they had no effect and with
// "store_answer_lost" if they may have had one.
result<object_store> MakeHttpObjectStore(net::asio::io_context& loop,
                                         net::asio::any_io_executor callbacks,
                                         const http_store_options& options);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_HTTP_OBJECT_STORE_H_
