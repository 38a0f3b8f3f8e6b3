#ifndef GB_PROTOCOL_METRICS_TEXT_H
#define GB_PROTOCOL_METRICS_TEXT_H

#include <glib.h>

#include "state/counters.h"
#include "state/flow_times.h"

/* Functions that append metrics in the Prometheus text exposition format, with
 * the prefix "guavabend_". */

void GbMetricsText_AppendCounters(GString *text,
                                  const struct GbCounters *counters);

void GbMetricsText_AppendGauge(GString *text, const char *name,
                               const char *help, int64_t value);

/* Appends histograms of the durations of flows, in seconds. */
void GbMetricsText_AppendFlowTimes(GString *text,
                                   const struct GbFlowTimes *times);

#endif
