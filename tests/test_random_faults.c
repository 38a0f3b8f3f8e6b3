#include <inttypes.h>
#include <stdio.h>

#include "support/matrix.h"

#define SEED_FIRST 1
#define RUNS 200
#define LOAD_US INT64_C(8000000)
#define SLICE_US INT64_C(50000)
/* Beyond all repeats, moves and delayed datagrams. */
#define REST_US INT64_C(90000000)
/* Time in which a document must be in force everywhere. */
#define SPREAD_US INT64_C(5000000)
#define SESSIONS 6
#define CALLS_PER_SLICE 2
/* One step in so many is struck. */
#define STRIKE_ODDS 250
#define RESTART_US INT64_C(300000)

/* Strikes random processes at random steps. */
struct Striker {
    struct GbSimObserver super;
    struct GbSimulation *simulation;
    struct GbSeededRandom random;
    bool is_active;
    uint32_t strikes;
};

static void
strike(struct Striker *self)
{
    struct GbSimulation *simulation = self->simulation;
    const struct GbMatrixFault *fault = &GbMatrix_Faults[GbRandom_Below(
        &self->random.super, GbMatrix_FaultCount)];
    struct GbSimProcess *subject = simulation->processes->pdata[GbRandom_Below(
        &self->random.super, simulation->processes->len)];

    if (subject->role == GB_SIM_CALLER && fault->has_subject) {
        return;
    }
    GbSimulation_Trace(simulation, "FAULT %s at %s", fault->name,
                       subject->node.name);
    self->strikes++;
    fault->inject(simulation, subject);
    if (subject->state == GB_SIM_STOPPED) {
        GbSimulation_Restart(simulation, subject, RESTART_US);
    }
}

static void
striker_step(struct GbSimObserver *observer, enum GbSimStep step,
             struct GbSimProcess *process, struct GbBytes datagram)
{
    struct Striker *self = (struct Striker *)observer;

    (void)step;
    (void)process;
    (void)datagram;
    if (self->is_active &&
        GbRandom_Below(&self->random.super, STRIKE_ODDS) == 0) {
        strike(self);
    }
}

static const struct GbSimObserverClass striker_class = {
    .step = striker_step,
};

static void
start_all(struct GbSimulation *simulation)
{
    static const char *const balancers[] = {"b1", "b2", "b3", "b4"};
    static const char *const agents[] = {"a1", "a2", "a3", "a4"};

    for (size_t i = 0; i < G_N_ELEMENTS(balancers); i++) {
        GbSimulation_Start(simulation, GB_SIM_BALANCER, balancers[i], NULL);
        GbSimulation_Start(simulation, GB_SIM_AGENT, agents[i], "desk");
    }
    GbSimulation_Start(simulation, GB_SIM_AGENT, "d1", "drawings");
    GbSimulation_Start(simulation, GB_SIM_CALLER, "c1", "desk");
    GbSimulation_Start(simulation, GB_SIM_CALLER, "c2", "drawings");
    GbSimulation_RunUntil(simulation, simulation->now_us + 1000000);
}

static void
call_some(struct Striker *self)
{
    static const char *const operations[] = {"check", "check", "look", "order",
                                             "pack"};
    struct GbRandom *random = &self->random.super;

    for (uint32_t i = 0; i < CALLS_PER_SLICE; i++) {
        struct GbSimProcess *caller = GbSimulation_Find(
            self->simulation, GbRandom_Below(random, 8) == 0 ? "c2" : "c1");
        char session[GB_SIM_NAME_BYTES];

        g_snprintf(session, sizeof(session), "s%u",
                   GbRandom_Below(random, SESSIONS));
        GbSimulation_Call(
            self->simulation, caller, session,
            operations[GbRandom_Below(random, G_N_ELEMENTS(operations))],
            "load");
    }
}

/* Runs one seed. Returns NULL or what was violated, with the messages if
 * keeps_trace is set. */
static char *
run(uint64_t seed, bool keeps_trace, uint32_t *strikes, uint32_t *answered,
    uint32_t *called)
{
    struct GbSimulation simulation;
    struct Striker striker = {.super = {&striker_class}};
    char *failure = NULL;

    GbSimulation_Init(&simulation, seed, keeps_trace);
    GbSeededRandom_Init(&striker.random, ~seed);
    striker.simulation = &simulation;
    simulation.observer = &striker.super;
    start_all(&simulation);
    striker.is_active = true;
    for (int64_t at_us = 0; at_us < LOAD_US; at_us += SLICE_US) {
        call_some(&striker);
        GbSimulation_RunUntil(&simulation, simulation.now_us + SLICE_US);
    }
    striker.is_active = false;
    GbSimulation_RunCalls(&simulation, simulation.now_us + REST_US);
    GbSimulation_RunUntil(&simulation, simulation.now_us + SPREAD_US);
    GbSimulation_CheckEnd(&simulation);
    for (guint i = 0; i < simulation.calls->len; i++) {
        const struct GbSimCall *call = simulation.calls->pdata[i];

        *answered +=
            call->deliveries > 0 && call->outcome == GB_OUTCOME_ANSWERED;
    }
    *called += simulation.calls->len;
    *strikes += striker.strikes;
    if (simulation.violations->len > 0) {
        failure = g_strconcat(
            (char *)simulation.violations->pdata[0], keeps_trace ? "\n" : NULL,
            keeps_trace ? simulation.trace->str : NULL, NULL);
    }
    GbSimulation_Finish(&simulation);
    return failure;
}

/* Guards against broken invariants under many faults at once, which the fault
 * matrix does not combine. */
static void
test_seeds(void)
{
    uint32_t strikes = 0;
    uint32_t answered = 0;
    uint32_t called = 0;
    uint32_t failed = 0;

    for (uint64_t seed = SEED_FIRST; seed < SEED_FIRST + RUNS; seed++) {
        char *failure = run(seed, false, &strikes, &answered, &called);

        if (failure != NULL) {
            g_printerr("FAILED seed %" PRIu64 ": %s\n", seed, failure);
            g_free(failure);
            if (failed++ == 0) {
                failure = run(seed, true, &strikes, &answered, &called);
                g_printerr("messages:\n%s\n", failure);
                g_free(failure);
            }
            g_test_fail();
        }
    }
    printf("# %d runs, %u faults, %u calls, %u answered, %u runs failed\n",
           RUNS, strikes, called, answered, failed);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/random-faults/seeds", test_seeds);
    return g_test_run();
}
