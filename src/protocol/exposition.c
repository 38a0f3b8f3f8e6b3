#include "protocol/exposition.h"

#include <inttypes.h>

void
GbExposition_Counters(GString *text, const struct GbCounters *counters)
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
GbExposition_Gauge(GString *text, const char *name, const char *help,
                   int64_t value)
{
    g_string_append_printf(text,
                           "# HELP guavabend_%s %s\n"
                           "# TYPE guavabend_%s gauge\n"
                           "guavabend_%s %" PRIi64 "\n",
                           name, help, name, name, value);
}
