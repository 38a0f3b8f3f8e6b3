#include "support/simulation.h"

#define SEED 7

struct FaultFreeCase {
    const char *operation;
    uint32_t runs;
};

static const struct FaultFreeCase fault_free_cases[] = {
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

/* Guards against a simulation that reports violations or loses calls although
 * no fault is injected: every call must be answered and run exactly once. */
static void
test_without_faults(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_free_cases); i++) {
        const struct FaultFreeCase *row = &fault_free_cases[i];
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
    g_test_add_func("/simulation/without-faults", test_without_faults);
    return g_test_run();
}
