#include "state/clock.h"

#include <glib.h>

struct ClockCase {
    const char *name;
    int64_t advance_us;
    int64_t step_us;
    int64_t monotonic_us;
    int64_t wall_us;
};

static const struct ClockCase clock_cases[] = {
    {"initial times", 0, 0, 1000, 5000},
    {"advanced", 250, 0, 1250, 5250},
    {"stepped back", 0, -400, 1000, 4600},
    {"advanced and stepped", 3000000, -1, 3001000, 3004999},
};

/* Guards against a monotonic time that changes with a step of the wall
 * clock. */
static void
test_manual_clock(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(clock_cases); i++) {
        const struct ClockCase *row = &clock_cases[i];
        struct GbManualClock clock;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 1000, 5000);
        GbManualClock_Advance(&clock, row->advance_us);
        GbManualClock_StepWall(&clock, row->step_us);
        g_assert_cmpint(GbClock_MonotonicUs(&clock.super), ==,
                        row->monotonic_us);
        g_assert_cmpint(GbClock_WallUs(&clock.super), ==, row->wall_us);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/clock/manual", test_manual_clock);
    return g_test_run();
}
