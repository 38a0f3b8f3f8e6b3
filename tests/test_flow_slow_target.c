#include <glib.h>

#include "support/flow_pool_simulation.h"

#define SECOND_MS 1000
#define SECONDS 6
#define IN_GOAL_PERCENT_MIN 95

struct SlowCase {
    const char *name;
    uint32_t load_percent;
    uint32_t slow_targets;
    uint32_t service_time_percent;
};

/* Loads stay below 85% of the capacity of the other targets. */
static const struct SlowCase slow_cases[] = {
    {"one target is five times slower", 70, 1, 500},
    {"one target is four times slower, moderate load", 40, 1, 400},
    {"two targets are five times slower", 55, 2, 500},
};

/* Fault pattern: targets become slow while their health check succeeds. Guards
 * against flows that go to a slow target because its slots are free, although
 * others would serve them in time. */
static void
test_slow_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
        const struct SlowCase *row = &slow_cases[i];
        struct GbPoolSim sim;

        GbPoolSim_Init(&sim, 1);
        GbPoolSim_Run(&sim, SECOND_MS, row->load_percent);
        GbPoolSim_SetServiceTime(&sim, row->slow_targets,
                                 row->service_time_percent);
        GbPoolSim_Run(&sim, (SECONDS - 1) * SECOND_MS, row->load_percent);
        /* Until the last client's time-out. */
        GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
        for (uint32_t second = 2; second < SECONDS; second++) {
            g_test_message("%s: second %u: %u%% in goal", row->name, second,
                           GbPoolSim_InGoalPercent(&sim, second));
            g_assert_cmpuint(GbPoolSim_InGoalPercent(&sim, second), >=,
                             IN_GOAL_PERCENT_MIN);
        }
        GbPoolSim_Finish(&sim);
    }
}

/* Fault pattern: a slow target recovers. Guards against a target that gets no
 * flows for a long time although it is fast again. */
static void
test_slow_target_recovers(void)
{
    struct GbPoolSim sim;
    uint32_t used_ms = 0;

    GbPoolSim_Init(&sim, 1);
    GbPoolSim_Run(&sim, SECOND_MS, 70);
    GbPoolSim_SetServiceTime(&sim, 1, 500);
    GbPoolSim_Run(&sim, 2 * SECOND_MS, 70);
    GbPoolSim_SetServiceTime(&sim, 1, 100);
    GbPoolSim_Run(&sim, 3 * SECOND_MS, 70);
    for (uint32_t i = 0; i < SECOND_MS; i++) {
        GbPoolSim_Run(&sim, 1, 70);
        used_ms += sim.members[0].running > 0;
    }
    g_test_message("in use for %u ms of one second", used_ms);
    g_assert_cmpuint(used_ms, >, SECOND_MS / 2);
    GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
    GbPoolSim_Finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-slow-target/slow-targets", test_slow_targets);
    g_test_add_func("/flow-slow-target/slow-target-recovers",
                    test_slow_target_recovers);
    return g_test_run();
}
