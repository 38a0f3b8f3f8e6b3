#ifndef GB_PROTOCOL_EXPOSITION_H
#define GB_PROTOCOL_EXPOSITION_H

#include <glib.h>

#include "state/counters.h"
#include "state/flow_times.h"

/* Appends all counters in the text exposition format, with the prefix
 * "guavabend_". */
void GbExposition_Counters(GString *text, const struct GbCounters *counters);

/* Appends one gauge. */
void GbExposition_Gauge(GString *text, const char *name, const char *help,
                        int64_t value);

/* Appends the durations of flows as histograms in seconds. */
void GbExposition_FlowTimes(GString *text, const struct GbFlowTimes *times);

#endif
