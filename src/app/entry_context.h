// What the parts of an entry share.
#ifndef CHIVEGLADE_APP_ENTRY_CONTEXT_H_
#define CHIVEGLADE_APP_ENTRY_CONTEXT_H_

#include <functional>
#include <memory>
#include <string>

#include "await.h"
#include "chiveglade/authority/scheduler.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/control/control_reader.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/net/h2_client.h"
#include "chiveglade/observe/metrics.h"
#include "chiveglade/routing/target_directory.h"
#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"
#include "entropy.h"

namespace chiveglade::app {

// Owned by the entry role and outlives every part. The scheduler, the reader's
// Poll and the store hooks must only be used on the control strand; the other
// members are thread-safe.
struct entry_context {
  explicit entry_context(net::asio::io_context& event_loop)
      : loop(event_loop), control(net::asio::make_strand(event_loop)) {}

  net::asio::io_context& loop;
  strand control;
  config::entry_settings settings;
  clock_fn clock;
  random_fn random;  // thread-safe
  store::table_service table;
  store::object_store objects;
  std::shared_ptr<control::control_reader> reader;
  std::unique_ptr<authority::scheduler> scheduler;
  std::shared_ptr<routing::target_directory> directory;
  observe::metrics metrics;
  // A connection to another process of the system, kept by its address.
  std::function<std::shared_ptr<net::h2_client>(const std::string& address)>
      peer;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_ENTRY_CONTEXT_H_
