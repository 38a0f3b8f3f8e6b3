#include <inttypes.h>
#include <stdio.h>

#include "support/fault_matrix.h"

#define SEED_FIRST 1
#define RUNS 200
#define LOAD_US INT64_C(8000000)
#define SLICE_US INT64_C(50000)
/* Time limit for calls in progress: longer than all resends, retries and
 * delayed datagrams take. */
#define COMPLETION_US INT64_C(90000000)
/* Time after which a document must be in force everywhere. */
#define DOCUMENT_SYNC_US INT64_C(5000000)
#define FLOWS 6
#define CALLS_PER_SLICE 2
/* A fault is injected at one of this many steps on average. */
#define STEPS_PER_FAULT 250
#define RESTART_US INT64_C(300000)

/* Injects random faults into random processes at random steps. */
struct FaultInjector {
    struct GbSimObserver super;
    struct GbSimulation *simulation;
    struct GbSeededRandom random;
    bool is_active;
    uint32_t fault_count;
};

static void
inject_fault(struct FaultInjector *self)
{
    struct GbSimulation *simulation = self->simulation;
    const struct GbFault *fault = &GbFaultMatrix_Faults[GbRandom_Below(
        &self->random.super, GbFaultMatrix_FaultCount)];
    struct GbSimProcess *process = simulation->processes->pdata[GbRandom_Below(
        &self->random.super, simulation->processes->len)];

    if (process->role == GB_SIM_CALLER && fault->affects_process) {
        return;
    }
    GbSimulation_Trace(simulation, "FAULT %s at %s", fault->name,
                       process->node.name);
    self->fault_count++;
    fault->inject(simulation, process);
    if (process->state == GB_SIM_STOPPED) {
        GbSimulation_RestartLater(simulation, process, RESTART_US);
    }
}

static void
injector_step(struct GbSimObserver *observer, enum GbSimStep step,
              struct GbSimProcess *process, struct GbBytes datagram)
{
    struct FaultInjector *self = (struct FaultInjector *)observer;

    (void)step;
    (void)process;
    (void)datagram;
    if (self->is_active &&
        GbRandom_Below(&self->random.super, STEPS_PER_FAULT) == 0) {
        inject_fault(self);
    }
}

static const struct GbSimObserverClass injector_class = {
    .step = injector_step,
};

static void
start_all(struct GbSimulation *simulation)
{
    static const char *const balancers[] = {"b1", "b2", "b3", "b4"};
    static const char *const agents[] = {"a1", "a2", "a3", "a4"};

    for (size_t i = 0; i < G_N_ELEMENTS(balancers); i++) {
        GbSimulation_StartProcess(simulation, GB_SIM_BALANCER, balancers[i],
                                  NULL);
        GbSimulation_StartProcess(simulation, GB_SIM_AGENT, agents[i], "desk");
    }
    GbSimulation_StartProcess(simulation, GB_SIM_AGENT, "d1", "drawings");
    GbSimulation_StartProcess(simulation, GB_SIM_CALLER, "c1", "desk");
    GbSimulation_StartProcess(simulation, GB_SIM_CALLER, "c2", "drawings");
    GbSimulation_RunUntil(simulation, simulation->now_us + 1000000);
}

static void
start_calls(struct FaultInjector *self)
{
    static const char *const operations[] = {"check", "check", "look", "order",
                                             "pack"};
    struct GbRandom *random = &self->random.super;

    for (uint32_t i = 0; i < CALLS_PER_SLICE; i++) {
        struct GbSimProcess *caller = GbSimulation_FindProcess(
            self->simulation, GbRandom_Below(random, 8) == 0 ? "c2" : "c1");
        char flow[GB_SIM_NAME_BYTES];

        g_snprintf(flow, sizeof(flow), "s%u", GbRandom_Below(random, FLOWS));
        GbSimulation_StartCall(
            self->simulation, caller, flow,
            operations[GbRandom_Below(random, G_N_ELEMENTS(operations))],
            "load");
    }
}

/* Runs one seed and adds to the counters. Returns NULL, or the violated
 * invariant as a string that the caller frees, with the trace of the messages
 * if records_trace is set. */
static char *
run_seed(uint64_t seed, bool records_trace, uint32_t *fault_count,
         uint32_t *answered_count, uint32_t *call_count)
{
    struct GbSimulation simulation;
    struct FaultInjector injector = {.super = {&injector_class}};
    char *failure = NULL;

    GbSimulation_Init(&simulation, seed, records_trace);
    GbSeededRandom_Init(&injector.random, ~seed);
    injector.simulation = &simulation;
    simulation.observer = &injector.super;
    start_all(&simulation);
    injector.is_active = true;
    for (int64_t at_us = 0; at_us < LOAD_US; at_us += SLICE_US) {
        start_calls(&injector);
        GbSimulation_RunUntil(&simulation, simulation.now_us + SLICE_US);
    }
    injector.is_active = false;
    GbSimulation_RunUntilCallsEnd(&simulation,
                                  simulation.now_us + COMPLETION_US);
    GbSimulation_RunUntil(&simulation, simulation.now_us + DOCUMENT_SYNC_US);
    GbSimulation_CheckFinalState(&simulation);
    for (guint i = 0; i < simulation.calls->len; i++) {
        const struct GbSimCall *call = simulation.calls->pdata[i];

        *answered_count +=
            call->deliveries > 0 && call->outcome == GB_OUTCOME_ANSWERED;
    }
    *call_count += simulation.calls->len;
    *fault_count += injector.fault_count;
    if (simulation.violations->len > 0) {
        failure =
            g_strconcat((char *)simulation.violations->pdata[0],
                        records_trace ? "\n" : NULL,
                        records_trace ? simulation.trace->str : NULL, NULL);
    }
    GbSimulation_Finish(&simulation);
    return failure;
}

/* Guards against invariants that are violated under combinations of many
 * faults, which the fault matrix does not cover. */
static void
test_seeds(void)
{
    uint32_t fault_count = 0;
    uint32_t answered_count = 0;
    uint32_t call_count = 0;
    uint32_t failed_run_count = 0;

    for (uint64_t seed = SEED_FIRST; seed < SEED_FIRST + RUNS; seed++) {
        char *failure =
            run_seed(seed, false, &fault_count, &answered_count, &call_count);

        if (failure != NULL) {
            g_printerr("FAILED seed %" PRIu64 ": %s\n", seed, failure);
            g_free(failure);
            if (failed_run_count++ == 0) {
                failure = run_seed(seed, true, &fault_count, &answered_count,
                                   &call_count);
                g_printerr("messages:\n%s\n", failure);
                g_free(failure);
            }
            g_test_fail();
        }
    }
    printf("# %d runs, %u faults, %u calls, %u answered, %u runs failed\n",
           RUNS, fault_count, call_count, answered_count, failed_run_count);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/random-faults/seeds", test_seeds);
    return g_test_run();
}
