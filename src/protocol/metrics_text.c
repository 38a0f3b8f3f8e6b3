#include "protocol/metrics_text.h"

#include <inttypes.h>

#define MS_PER_SECOND 1000.0
#define US_PER_SECOND 1000000.0

void
GbMetricsText_AppendCounters(GString *text, const struct GbCounters *counters)
{
    for (int i = 0; i < GB_COUNTER_END; i++) {
        const char *name = GbCounters_Name((enum GbCounterId)i);

        g_string_append_printf(
            text,
            "# HELP guavabend_%s %s\n# TYPE guavabend_%s counter\n"
            "guavabend_%s %" PRIu64 "\n",
            name, GbCounters_Help((enum GbCounterId)i), name, name,
            counters->values[i]);
    }
}

void
GbMetricsText_AppendGauge(GString *text, const char *name, const char *help,
                          int64_t value)
{
    g_string_append_printf(text,
                           "# HELP guavabend_%s %s\n"
                           "# TYPE guavabend_%s gauge\n"
                           "guavabend_%s %" PRIi64 "\n",
                           name, help, name, name, value);
}

static void
append_histogram(GString *text, const char *name, const char *help,
                 const struct GbHistogram *histogram)
{
    uint64_t cumulative_count = 0;

    g_string_append_printf(text,
                           "# HELP guavabend_%s %s\n"
                           "# TYPE guavabend_%s histogram\n",
                           name, help, name);
    for (uint32_t i = 0; i < GB_HISTOGRAM_BUCKETS; i++) {
        cumulative_count += histogram->buckets[i];
        g_string_append_printf(
            text, "guavabend_%s_bucket{le=\"%g\"} %" PRIu64 "\n", name,
            GbHistogram_BoundMs(i) / MS_PER_SECOND, cumulative_count);
    }
    g_string_append_printf(text,
                           "guavabend_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
                           "guavabend_%s_sum %g\n"
                           "guavabend_%s_count %" PRIu64 "\n",
                           name, histogram->count, name,
                           (double)histogram->sum_us / US_PER_SECOND, name,
                           histogram->count);
}

void
GbMetricsText_AppendFlowTimes(GString *text, const struct GbFlowTimes *times)
{
    for (int i = 0; i < GB_FLOW_TIME_ID_END; i++) {
        append_histogram(text, GbFlowTimes_Name((enum GbFlowTimeId)i),
                         GbFlowTimes_Help((enum GbFlowTimeId)i),
                         &times->values[i]);
    }
}
