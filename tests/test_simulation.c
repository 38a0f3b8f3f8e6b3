#include "support/simulation.h"

#define SEED 7

struct PlainCase {
    const char *operation;
    uint32_t runs;
};

static const struct PlainCase plain_cases[] = {
    {"check", 1},
    {"look", 1},
    {"pack", 1},
    {"order", 1},
};

static void
start_all(struct GbSimulation *simulation)
{
    GbSimulation_StartProcess(simulation, GB_SIM_BALANCER, "b1", NULL);
    GbSimulation_StartProcess(simulation, GB_SIM_BALANCER, "b2", NULL);
    GbSimulation_StartProcess(simulation, GB_SIM_AGENT, "a1", "desk");
    GbSimulation_StartProcess(simulation, GB_SIM_AGENT, "a2", "desk");
    GbSimulation_StartProcess(simulation, GB_SIM_AGENT, "d1", "drawings");
    GbSimulation_StartProcess(simulation, GB_SIM_CALLER, "c1", "desk");
    GbSimulation_RunUntil(simulation, 1000000);
}

/* Guards against a simulation that finds faults where there are none: without
 * faults every call is answered by one run. */
static void
test_plain(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(plain_cases); i++) {
        const struct PlainCase *row = &plain_cases[i];
        struct GbSimulation simulation;
        struct GbSimCall *call;

        g_test_message("%s", row->operation);
        GbSimulation_Init(&simulation, SEED, true);
        start_all(&simulation);
        call = GbSimulation_StartCall(
            &simulation, GbSimulation_FindProcess(&simulation, "c1"), "s",
            row->operation, "x");
        GbSimulation_RunUntilCallsEnd(&simulation, 20000000);
        GbSimulation_CheckFinalState(&simulation);
        if (call->outcome != GB_OUTCOME_ANSWERED ||
            simulation.violations->len > 0) {
            g_test_message("%s", simulation.trace->str);
        }
        g_assert_cmpuint(simulation.violations->len, ==, 0);
        g_assert_cmpint(call->outcome, ==, GB_OUTCOME_ANSWERED);
        g_assert_cmpuint(GbSimulation_CountRuns(&simulation, call->key), ==,
                         row->runs);
        GbSimulation_Finish(&simulation);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/simulation/plain", test_plain);
    return g_test_run();
}
