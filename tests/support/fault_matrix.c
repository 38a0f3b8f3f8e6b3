#include "support/fault_matrix.h"

#include <string.h>

#define SETTLE_US INT64_C(1000000)
/* Longest time that a call may take with all repeats and moves. */
#define CALL_US INT64_C(60000000)
/* After the call: beyond the flow time of a leaving agent, which is still
 * there because its tokens may be used. */
#define PROBE_US INT64_C(2500000)
/* For datagrams that are still delayed. */
#define REST_US INT64_C(5000000)
#define PACK_BYTES 5000
#define FILLERS 8
/* Over all agents of the service. */
#define SHORT_QUEUE 2
#define LONG_WORK_US INT64_C(300000)

/* Counts steps and injects the faults of a cell. */
struct Injector {
    struct GbSimObserver super;
    struct GbSimulation *simulation;
    const struct GbFaultMatrixCell *cell;
    uint32_t step_count;
    uint32_t injected;
    struct GbSimProcess *last[GB_FAULT_SITE_COUNT];
    /* Roles of what was struck, for what is demanded. */
    bool is_caller_struck;
    bool is_balancer_struck;
    /* Struct GbFaultMatrixStep; NULL if not recorded. */
    GArray *steps;
};

static bool
is_of_call(const struct Injector *self, enum GbSimStep step,
           struct GbBytes datagram)
{
    const struct GbSimProcess *caller =
        GbSimulation_FindProcess(self->simulation, "c1");
    const struct GbCallerFlow *flow =
        g_hash_table_lookup(caller->caller.sessions, "s");

    return step > GB_SIM_AFTER_RECEIVE || flow == NULL ||
           GbSimNetwork_FlowId(&self->simulation->network, datagram) ==
               flow->id;
}

static void
record(struct Injector *self, enum GbSimStep step, uint32_t index)
{
    struct GbFaultMatrixStep recorded = {.index = index, .step = step};

    g_strlcpy(recorded.process, self->last[GB_FAULT_SITE_CURRENT]->node.name,
              sizeof(recorded.process));
    for (int i = 0; i < GB_FAULT_SITE_COUNT; i++) {
        const struct GbSimProcess *subject = self->last[i];
        bool is_repeated = i != GB_FAULT_SITE_CURRENT &&
                           subject == self->last[GB_FAULT_SITE_CURRENT];

        if (subject != NULL && !is_repeated) {
            g_strlcpy(recorded.site_processes[i], subject->node.name,
                      sizeof(recorded.site_processes[i]));
        }
    }
    g_array_append_val(self->steps, recorded);
}

static void
inject(struct Injector *self, const struct GbFaultInjection *strike)
{
    struct GbSimProcess *subject = self->last[strike->site];

    if (subject == NULL) {
        subject = self->last[GB_FAULT_SITE_CURRENT];
    }
    self->injected++;
    self->is_caller_struck |= subject->role == GB_SIM_CALLER;
    self->is_balancer_struck |= subject->role == GB_SIM_BALANCER;
    GbSimulation_Trace(self->simulation, "FAULT %s at %s", strike->fault->name,
                       subject->node.name);
    strike->fault->inject(self->simulation, subject);
}

static void
injector_step(struct GbSimObserver *observer, enum GbSimStep step,
              struct GbSimProcess *process, struct GbBytes datagram)
{
    struct Injector *self = (struct Injector *)observer;
    uint32_t index = self->step_count++;

    self->last[GB_FAULT_SITE_CURRENT] = process;
    if (process->role == GB_SIM_AGENT) {
        self->last[GB_FAULT_SITE_LAST_AGENT] = process;
    }
    else if (process->role == GB_SIM_BALANCER) {
        self->last[GB_FAULT_SITE_LAST_BALANCER] = process;
    }
    if (self->steps != NULL && is_of_call(self, step, datagram)) {
        record(self, step, index);
    }
    for (uint32_t i = 0; self->cell != NULL && i < self->cell->injection_count;
         i++) {
        if (self->cell->injections[i].step == index) {
            inject(self, &self->cell->injections[i]);
        }
    }
}

static const struct GbSimObserverClass injector_class = {
    .step = injector_step,
};

static void
start_all(struct GbSimulation *simulation)
{
    /* The fabric sends to a balancer that is paused as often as to any other,
     * so that with few of them most repeats may be lost. */
    static const char *const balancers[] = {"b1", "b2", "b3", "b4"};
    static const char *const agents[] = {"a1", "a2"};

    for (size_t i = 0; i < G_N_ELEMENTS(balancers); i++) {
        GbSimulation_StartProcess(simulation, GB_SIM_BALANCER, balancers[i],
                                  NULL);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(agents); i++) {
        GbSimulation_StartProcess(simulation, GB_SIM_AGENT, agents[i], "desk")
            ->agent.target.pack_bytes = PACK_BYTES;
    }
    GbSimulation_StartProcess(simulation, GB_SIM_AGENT, "d1", "drawings");
    GbSimulation_StartProcess(simulation, GB_SIM_CALLER, "c1", "desk");
    GbSimulation_StartProcess(simulation, GB_SIM_CALLER, "c2", "desk");
    GbSimulation_RunUntil(simulation, SETTLE_US);
}

static void
call_new_sessions(struct GbSimulation *simulation, const char *operation,
                  const char *label, uint32_t count)
{
    struct GbSimProcess *caller = GbSimulation_FindProcess(simulation, "c2");

    for (uint32_t i = 0; i < count; i++) {
        char session[GB_SIM_NAME_BYTES];

        g_snprintf(session, sizeof(session), "%s-%u", label, i);
        GbSimulation_StartCall(simulation, caller, session, operation, label);
    }
}

static void
publish_short_queue(struct GbSimulation *simulation)
{
    static const struct GbSimPublication publication = {.revision = 2,
                                                        .queue = SHORT_QUEUE};

    for (guint i = 0; i < simulation->processes->len; i++) {
        struct GbSimProcess *process = simulation->processes->pdata[i];

        if (process->role == GB_SIM_AGENT) {
            process->agent.target.work_us = LONG_WORK_US;
        }
    }
    GbSimPlatform_Publish(&simulation->platform, &publication);
    GbSimulation_RunUntil(simulation, simulation->now_us + SETTLE_US);
}

/* Runs the call of a cell up to its end. */
static struct GbSimCall *
run_call(struct GbSimulation *simulation, struct Injector *injector,
         const struct GbFaultMatrixCall *what)
{
    struct GbSimProcess *caller;
    struct GbSimCall *call;

    start_all(simulation);
    caller = GbSimulation_FindProcess(simulation, "c1");
    if (what->is_bound) {
        GbSimulation_StartCall(simulation, caller, "s", "check", "before");
        GbSimulation_RunUntilCallsEnd(simulation,
                                      simulation->now_us + CALL_US);
    }
    if (what->is_refused) {
        publish_short_queue(simulation);
    }
    if (what->is_queued) {
        call_new_sessions(simulation, "check", "filler", FILLERS);
        GbSimulation_RunUntil(simulation, simulation->now_us + 12000);
    }
    simulation->observer = &injector->super;
    call = GbSimulation_StartCall(simulation, caller, "s", what->operation,
                                  "call");
    GbSimulation_RunUntilCallsEnd(simulation, simulation->now_us + CALL_US);
    return call;
}

static bool
must_be_answered(const struct GbFaultMatrixCell *cell,
                 const struct Injector *injector)
{
    if (cell->call->is_refused ||
        (injector->is_caller_struck &&
         cell->injections[0].fault->affects_process)) {
        return false;
    }
    switch (cell->injections[0].fault->expectation) {
    case GB_EXPECT_ANSWERED:
        return true;
    case GB_EXPECT_ANSWERED_IF_BALANCER_FAILED:
        return injector->is_balancer_struck;
    default:
        return false;
    }
}

GArray *
GbFaultMatrix_RecordSteps(const struct GbFaultMatrixCall *call, uint64_t seed)
{
    struct GbSimulation simulation;
    struct Injector injector = {.super = {&injector_class}};

    injector.steps =
        g_array_new(FALSE, FALSE, sizeof(struct GbFaultMatrixStep));
    GbSimulation_Init(&simulation, seed, false);
    injector.simulation = &simulation;
    run_call(&simulation, &injector, call);
    GbSimulation_Finish(&simulation);
    return injector.steps;
}

char *
GbFaultMatrix_RunCell(const struct GbFaultMatrixCell *cell, uint64_t seed,
                      bool keeps_trace)
{
    struct GbSimulation simulation;
    struct Injector injector = {.super = {&injector_class}, .cell = cell};
    struct GbSimCall *call;
    char *failure = NULL;

    GbSimulation_Init(&simulation, seed, keeps_trace);
    injector.simulation = &simulation;
    call = run_call(&simulation, &injector, cell->call);
    if (cell->injection_count == 1 && injector.injected == 0) {
        GbSimulation_RecordViolation(&simulation, "the step did not come");
    }
    if (cell->injection_count == 1 && must_be_answered(cell, &injector) &&
        call->outcome != GB_OUTCOME_ANSWERED && call->deliveries > 0) {
        GbSimulation_RecordViolation(&simulation, "%s was not answered",
                                     call->key);
    }
    /* A leaving target must get none of these. */
    GbSimulation_RunUntil(&simulation, simulation.now_us + PROBE_US);
    call_new_sessions(&simulation, "check", "probe", 2);
    call_new_sessions(&simulation, "look", "probe", 2);
    GbSimulation_RunUntilCallsEnd(&simulation, simulation.now_us + CALL_US);
    GbSimulation_RunUntil(&simulation, simulation.now_us + REST_US);
    GbSimulation_CheckFinalState(&simulation);
    if (simulation.violations->len > 0) {
        failure = g_strconcat(
            (char *)simulation.violations->pdata[0], keeps_trace ? "\n" : NULL,
            keeps_trace ? simulation.trace->str : NULL, NULL);
    }
    GbSimulation_Finish(&simulation);
    return failure;
}
