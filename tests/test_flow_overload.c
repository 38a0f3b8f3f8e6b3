#include <glib.h>

#include "support/flow_pool_simulation.h"

#define SECOND_MS 1000
#define MODERATE_PERCENT 60
#define IN_GOAL_PERCENT_MIN 95

struct OverloadCase {
    const char *name;
    /* Load in percent of the capacity of the targets, and its duration. */
    uint32_t load_percent;
    uint32_t seconds;
    /* Service time of the targets during the overload, in percent of the usual
     * one. */
    uint32_t service_time_percent;
};

static const struct OverloadCase overload_cases[] = {
    {"a peak at 1.5 times the capacity", 150, 2, 100},
    {"a peak at 3 times the capacity", 300, 3, 100},
    {"a short peak at 6 times the capacity", 600, 1, 100},
    {"cold targets", 80, 2, 160},
    {"cold targets at a peak", 150, 2, 160},
};

/* Load pattern: a load above the capacity of all targets of a service, with
 * clients that retransmit SYN packets and retry from new ports, followed by a
 * moderate load. Guards against a metastable failure, in which requests
 * that their clients have abandoned keep the targets busy after the overload.
 */
static void
test_recovers_within_a_second_of_an_overload(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(overload_cases); i++) {
        const struct OverloadCase *row = &overload_cases[i];
        struct GbPoolSim sim;

        GbPoolSim_Init(&sim, 1);
        GbPoolSim_Run(&sim, SECOND_MS, MODERATE_PERCENT);
        GbPoolSim_SetServiceTime(&sim, GB_POOL_SIM_AGENTS,
                                 row->service_time_percent);
        GbPoolSim_Run(&sim, (int64_t)row->seconds * SECOND_MS,
                      row->load_percent);
        GbPoolSim_SetServiceTime(&sim, GB_POOL_SIM_AGENTS, 100);
        GbPoolSim_Run(&sim, 3 * SECOND_MS, MODERATE_PERCENT);
        /* Until the last client's time-out. */
        GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
        for (uint32_t second = 0; second < row->seconds + 4; second++) {
            const struct GbPoolSimSecond *totals = &sim.seconds[second];

            g_test_message("%s: second %u: sent %u, in goal %u, late %u, "
                           "failed %u",
                           row->name, second, totals->sent, totals->in_goal,
                           totals->late, totals->failed);
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
