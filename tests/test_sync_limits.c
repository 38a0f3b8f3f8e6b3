#include <glib.h>

#include "support/sync_fixture.h"

#define US_PER_SECOND INT64_C(1000000)

struct CallLimitCase {
    const char *name;
    enum PlatformMode mode;
    /* Interval between changes of the document; 0 for no changes. */
    uint32_t publish_s;
};

static const struct CallLimitCase call_limit_cases[] = {
    {"normal", PLATFORM_NORMAL, 0},
    {"normal, one change per second", PLATFORM_NORMAL, 1},
    {"down", PLATFORM_DOWN, 0},
    {"unresponsive", PLATFORM_UNRESPONSIVE, 0},
    {"watches return at once", PLATFORM_NO_WAIT, 0},
    {"watches return at once, one change per second", PLATFORM_NO_WAIT, 1},
    {"bytes of another document", PLATFORM_WRONG_DOCUMENT, 0},
    {"invalid documents, one per second", PLATFORM_INVALID, 1},
};

#define HOUR_S 3600
#define BURST 4

/* Guards against processes that exceed their budget of platform calls while
 * the platform fails: 0.2 calls a second and a burst of 4. */
static void
test_call_limit(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(call_limit_cases); i++) {
        const struct CallLimitCase *row = &call_limit_cases[i];
        struct SyncFixture fixture;

        GbSyncFixture_Open(&fixture, 0);
        GbSyncFixture_PublishDocument(&fixture, 1, 0);
        fixture.platform_mode = row->mode;
        for (uint32_t at_s = 1; at_s <= HOUR_S; at_s++) {
            uint32_t before = fixture.platform_calls;

            GbSyncFixture_RunUntil(&fixture, at_s * US_PER_SECOND);
            if (row->publish_s > 0) {
                GbSyncFixture_PublishDocument(&fixture, 1 + at_s, 0);
            }
            g_assert_cmpuint(fixture.platform_calls - before, <=, BURST);
            g_assert_cmpuint(fixture.platform_calls, <=, BURST + at_s / 5);
        }
        g_test_message("%s: %u calls in an hour", row->name,
                       fixture.platform_calls);
        g_assert_cmpuint(fixture.counters.values[GB_COUNTER_PLATFORM_CALLS],
                         ==, fixture.platform_calls);
        GbSyncFixture_Close(&fixture);
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
    {"no peers", 0, 10, 0, 0},
    {"four peers at once and for three seconds, then one a second", 10, 10, 22,
     24},
    {"two peers", 2, 10, 14, 16},
};

/* Guards against documents that processes do not announce to their peers, so
 * that all have to read them from the platform. */
static void
test_announce(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(announce_cases); i++) {
        const struct AnnounceCase *row = &announce_cases[i];
        struct SyncFixture fixture;

        g_test_message("%s", row->name);
        GbSyncFixture_Open(&fixture, row->peers);
        GbSyncFixture_PublishDocument(&fixture, 1, 0);
        GbSyncFixture_RunUntil(&fixture, row->run_s * US_PER_SECOND);
        g_assert_cmpuint(fixture.announcements, >=, row->min);
        g_assert_cmpuint(fixture.announcements, <=, row->max);
        GbSyncFixture_Close(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sync-limits/platform-calls", test_call_limit);
    g_test_add_func("/sync-limits/announcements", test_announce);
    return g_test_run();
}
