// Metrics that an entry derives from its state.
#ifndef CHIVEGLADE_APP_ENTRY_METRICS_H_
#define CHIVEGLADE_APP_ENTRY_METRICS_H_

#include "chiveglade/routing/request_front.h"
#include "entry_context.h"

namespace chiveglade::app {

// Counts one request. Thread-safe.
void RecordRequest(entry_context& context,
                   const routing::request_record& record);

// Brings the gauges up to date. On the control strand, once a second.
void UpdateGauges(entry_context& context, uint32_t open_requests);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_ENTRY_METRICS_H_
