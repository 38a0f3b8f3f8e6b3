#include <glib.h>

#include "support/flow_pool_simulation.h"

#define SECOND_MS 1000
#define CALM_PERCENT 60
#define IN_GOAL_PERCENT_MIN 95

struct OverloadCase {
    const char *name;
    /* Load, in percent of what the targets can do, and its length. */
    uint32_t load_percent;
    uint32_t seconds;
    /* Time of work during the overload, in percent of the usual one. */
    uint32_t work_percent;
};

static const struct OverloadCase overload_cases[] = {
    {"a peak at one and a half of what targets can do", 150, 2, 100},
    {"a peak at three times what targets can do", 300, 3, 100},
    {"a short peak at six times what targets can do", 600, 1, 100},
    {"targets that are cold work more slowly", 80, 2, 160},
    {"targets that are cold, at a peak", 150, 2, 160},
};

/* Load pattern: load beyond what all targets of a service can do, with clients
 * that send copies of openings and retry from new ports, and then a calm load
 * again. Guards against a metastable collapse: work that nobody waits for any
 * more would keep the targets busy after the load has gone. */
static void
test_recovers_within_a_second_of_an_overload(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(overload_cases); i++) {
        const struct OverloadCase *row = &overload_cases[i];
        struct GbPoolSim sim;

        GbPoolSim_Init(&sim, 1);
        GbPoolSim_Run(&sim, SECOND_MS, CALM_PERCENT);
        GbPoolSim_SetServiceTime(&sim, GB_POOL_SIM_AGENTS, row->work_percent);
        GbPoolSim_Run(&sim, (int64_t)row->seconds * SECOND_MS,
                      row->load_percent);
        GbPoolSim_SetServiceTime(&sim, GB_POOL_SIM_AGENTS, 100);
        GbPoolSim_Run(&sim, 3 * SECOND_MS, CALM_PERCENT);
        /* Until the last client has given up. */
        GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
        for (uint32_t second = 0; second < row->seconds + 4; second++) {
            const struct GbPoolSimSecond *at = &sim.seconds[second];

            g_test_message("%s: second %u: sent %u, in goal %u, late %u, "
                           "failed %u",
                           row->name, second, at->sent, at->in_goal, at->late,
                           at->failed);
        }
        for (uint32_t second = row->seconds + 2; second < row->seconds + 4;
             second++) {
            g_assert_cmpuint(GbPoolSim_InGoalPercent(&sim, second), >=,
                             IN_GOAL_PERCENT_MIN);
        }
        GbPoolSim_Finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-overload/recovers-within-a-second-of-an-overload",
                    test_recovers_within_a_second_of_an_overload);
    return g_test_run();
}
