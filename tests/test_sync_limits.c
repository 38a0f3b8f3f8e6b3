#include <glib.h>

#include "support/sync_bench.h"

#define US_PER_SECOND INT64_C(1000000)

struct CeilingCase {
    const char *name;
    enum PlatformMode mode;
    /* Time between changes of the document; 0 for none. */
    uint32_t publish_s;
};

static const struct CeilingCase ceiling_cases[] = {
    {"normal", PLATFORM_NORMAL, 0},
    {"normal, a change every second", PLATFORM_NORMAL, 1},
    {"down", PLATFORM_DOWN, 0},
    {"never answers", PLATFORM_SLOW, 0},
    {"never waits", PLATFORM_HASTY, 0},
    {"never waits, a change every second", PLATFORM_HASTY, 1},
    {"garbage", PLATFORM_GARBAGE, 0},
    {"invalid documents, one every second", PLATFORM_INVALID, 1},
};

#define HOUR_S 3600
#define BURST 4

/* Guards against a fleet that exceeds the platform's limit of calls while
 * the platform fails: 0.2 calls a second and 4 more. */
static void
test_ceiling(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ceiling_cases); i++) {
        const struct CeilingCase *row = &ceiling_cases[i];
        struct SyncBench fixture;

        GbSyncBench_Open(&fixture, 0);
        GbSyncBench_Publish(&fixture, 1, 0);
        fixture.platform_mode = row->mode;
        for (uint32_t at_s = 1; at_s <= HOUR_S; at_s++) {
            uint32_t before = fixture.platform_calls;

            GbSyncBench_RunUntil(&fixture, at_s * US_PER_SECOND);
            if (row->publish_s > 0) {
                GbSyncBench_Publish(&fixture, 1 + at_s, 0);
            }
            g_assert_cmpuint(fixture.platform_calls - before, <=, BURST);
            g_assert_cmpuint(fixture.platform_calls, <=, BURST + at_s / 5);
        }
        g_test_message("%s: %u calls in an hour", row->name,
                       fixture.platform_calls);
        g_assert_cmpuint(fixture.counters.values[GB_COUNTER_PLATFORM_CALLS],
                         ==, fixture.platform_calls);
        GbSyncBench_Close(&fixture);
    }
}

struct AnnounceCase {
    const char *name;
    uint32_t peers;
    uint32_t run_s;
    uint32_t min;
    uint32_t max;
};

static const struct AnnounceCase announce_cases[] = {
    {"nobody to tell", 0, 10, 0, 0},
    {"four at once and for three seconds, then one a second", 10, 10, 22, 24},
    {"each of two in the same way", 2, 10, 14, 16},
};

/* Guards against a document that only the platform spreads. */
static void
test_announce(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(announce_cases); i++) {
        const struct AnnounceCase *row = &announce_cases[i];
        struct SyncBench fixture;

        g_test_message("%s", row->name);
        GbSyncBench_Open(&fixture, row->peers);
        GbSyncBench_Publish(&fixture, 1, 0);
        GbSyncBench_RunUntil(&fixture, row->run_s * US_PER_SECOND);
        g_assert_cmpuint(fixture.announcements, >=, row->min);
        g_assert_cmpuint(fixture.announcements, <=, row->max);
        GbSyncBench_Close(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sync-limits/ceiling", test_ceiling);
    g_test_add_func("/sync-limits/announce", test_announce);
    return g_test_run();
}
