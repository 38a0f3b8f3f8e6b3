#include <glib.h>

#include "support/flow_pool_simulation.h"

#define SECOND_MS 1000
#define SECONDS 4

struct PoolCase {
    const char *name;
    /* Load in percent of the capacity of all targets. */
    uint32_t load_percent;
    /* Number of slower targets, and their service time in percent of the
     * usual one. */
    uint32_t slow_targets;
    uint32_t service_time_percent;
    /* Number of agents that accept no new flows. */
    uint32_t draining_agents;
    uint32_t in_goal_percent_min;
};

/* Loads stay below 85% of the capacity of the other targets. The latency goal
 * is 100 ms, and the service time 8 to 24 ms. */
static const struct PoolCase pool_cases[] = {
    {"all targets are equal", 80, 0, 100, 0, 98},
    {"two targets are cold after a release", 70, 2, 160, 0, 95},
    {"a hot service with a pool that is partly drained", 60, 0, 100, 2, 95},
    {"partly drained, and the new targets are cold", 50, 2, 160, 2, 95},
};

/* Load patterns of a pool with different targets. Guards against flows that
 * wait at slow, cold or draining targets while others have free slots. */
static void
test_pool_of_different_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pool_cases); i++) {
        const struct PoolCase *row = &pool_cases[i];
        struct GbPoolSim sim;

        GbPoolSim_Init(&sim, 1);
        GbPoolSim_SetServiceTime(&sim, row->slow_targets,
                                 row->service_time_percent);
        for (uint32_t k = 0; k < row->draining_agents; k++) {
            GbFlowAgent_Drain(&sim.members[GB_POOL_SIM_AGENTS - 1 - k].agent);
        }
        GbPoolSim_Run(&sim, SECONDS * SECOND_MS, row->load_percent);
        /* Until the last client's time-out. */
        GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
        for (uint32_t second = 1; second < SECONDS; second++) {
            g_test_message("%s: second %u: %u%% in goal", row->name, second,
                           GbPoolSim_InGoalPercent(&sim, second));
            g_assert_cmpuint(GbPoolSim_InGoalPercent(&sim, second), >=,
                             row->in_goal_percent_min);
        }
        GbPoolSim_Finish(&sim);
    }
}

#define FLAP_MS 900
#define FLAPS 5
#define FLAP_LOAD_PERCENT 50
#define RESPONSE_PERCENT_MIN 95

/* Fault pattern: a target repeatedly goes down and comes back while it is
 * listed as ready. Guards against requests that are lost each time, and
 * against a target that is never used again. */
static void
test_flapping_target(void)
{
    struct GbPoolSim sim;
    uint32_t sent = 0;
    uint32_t responses = 0;

    GbPoolSim_Init(&sim, 1);
    for (uint32_t i = 0; i < FLAPS; i++) {
        sim.members[0].is_unresponsive = false;
        GbPoolSim_Run(&sim, FLAP_MS, FLAP_LOAD_PERCENT);
        sim.members[0].is_unresponsive = true;
        GbPoolSim_Run(&sim, FLAP_MS, FLAP_LOAD_PERCENT);
    }
    sim.members[0].is_unresponsive = false;
    GbPoolSim_Run(&sim, 2 * SECOND_MS, FLAP_LOAD_PERCENT);
    g_assert_cmpuint(sim.members[0].agent.in_flight, >, 0);
    GbPoolSim_Run(&sim, 3 * SECOND_MS, 0);
    for (uint32_t second = 0; second < GB_POOL_SIM_SECONDS_MAX; second++) {
        sent += sim.seconds[second].sent;
        responses += sim.seconds[second].in_goal + sim.seconds[second].late;
    }
    g_test_message("sent %u, responses %u", sent, responses);
    g_assert_cmpuint(responses * 100, >=, sent * RESPONSE_PERCENT_MIN);
    GbPoolSim_Finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-placement/pool-of-different-targets",
                    test_pool_of_different_targets);
    g_test_add_func("/flow-placement/flapping-target", test_flapping_target);
    return g_test_run();
}
