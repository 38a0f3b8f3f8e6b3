#include <glib.h>
#include <stdbool.h>

#include "coordination/flows/view_fallback.h"

#define PERIODS_PER_S 5
#define SENT_PER_PERIOD 3
#define MS 1000
#define DRAWS 200

struct DelayCase {
    const char *name;
    uint32_t known_count;
    uint32_t heard_per_s;
    /* The last pull has failed. */
    bool has_failed_pull;
    /* Range of the delays of many processes. */
    int64_t min_us;
    int64_t max_us;
};

static const struct DelayCase delay_cases[] = {
    {"small fleet", 16, 15, false, 1400 * MS, 1900 * MS},
    {"fleet of 60", 60, 15, false, 1400 * MS, 10700 * MS},
    {"fleet of hundreds", 300, 15, false, 1400 * MS, 58700 * MS},
    {"cut off from all", 300, 0, false, 1400 * MS, 1900 * MS},
    {"hears from a few of hundreds", 300, 1, false, 1400 * MS, 2700 * MS},
    {"cannot pull what it hears of", 300, 15, true, 1400 * MS, 1900 * MS},
    {"knows only the seeds", 3, 60, false, 1400 * MS, 1900 * MS},
};

/* Guards against a fleet of hundreds whose processes all read from the
 * platform at the same time, and against a process that waits for others
 * although it is cut off from them. */
static void
test_delay(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(delay_cases); i++) {
        const struct DelayCase *row = &delay_cases[i];
        struct GbSeededRandom random;
        struct GbViewFallback fallback;
        int64_t longest_us = 0;

        g_test_message("%s", row->name);
        GbSeededRandom_Init(&random, 1);
        GbViewFallback_Init(&fallback, &random.super);
        for (uint32_t period = 0; period < PERIODS_PER_S; period++) {
            uint32_t first = row->heard_per_s * period / PERIODS_PER_S;
            uint32_t end = row->heard_per_s * (period + 1) / PERIODS_PER_S;

            for (uint32_t n = first; n < end; n++) {
                GbViewFallback_RecordAnnouncement(&fallback);
            }
            GbViewFallback_EndPeriod(&fallback);
        }
        if (row->has_failed_pull) {
            GbViewFallback_RecordFailedPull(&fallback);
        }
        for (uint32_t draw = 0; draw < DRAWS; draw++) {
            int64_t delay_us = GbViewFallback_DelayUs(
                &fallback, row->known_count, SENT_PER_PERIOD);

            g_assert_cmpint(delay_us, >=, row->min_us);
            g_assert_cmpint(delay_us, <=, row->max_us);
            longest_us = MAX(longest_us, delay_us);
            GbViewFallback_Redraw(&fallback, &random.super);
        }
        /* The range is used. */
        g_assert_cmpint(longest_us, >,
                        row->min_us + (row->max_us - row->min_us) * 9 / 10);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-fallback/delay", test_delay);
    return g_test_run();
}
