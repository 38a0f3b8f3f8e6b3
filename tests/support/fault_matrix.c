#include "support/fault_matrix.h"

#include <string.h>

/* Time until a new document or instance list is in force everywhere. */
#define SYNC_US INT64_C(1000000)
/* Time limit of a call, longer than all resends and all retries at
 * other agents take. */
#define CALL_TIMEOUT_US INT64_C(60000000)
/* Delay of the probe calls after the call. It exceeds the flow drain time of a
 * leaving agent, which still runs because its tokens may be in use. */
#define PROBE_DELAY_US INT64_C(2500000)
/* Time for datagrams that are still delayed. */
#define LATE_DATAGRAMS_US INT64_C(5000000)
#define PACK_BYTES 5000
#define FILLER_CALLS 8
/* Total over all agents of the service. */
#define SHORT_QUEUE_LIMIT 2
#define LONG_SERVICE_TIME_US INT64_C(300000)

/* Counts the steps of a run and injects the faults of a cell. */
struct FaultInjector {
    struct GbSimObserver super;
    struct GbSimulation *simulation;
    const struct GbFaultMatrixCell *cell;
    uint32_t step_count;
    uint32_t injection_count;
    /* Current process of each fault site; NULL if there is none yet. */
    struct GbSimProcess *site_processes[GB_FAULT_SITE_COUNT];
    /* Roles of the processes that faults were injected into. */
    bool has_hit_caller;
    bool has_hit_balancer;
    /* Struct GbFaultMatrixStep; NULL if not recorded. */
    GArray *steps;
};

static bool
belongs_to_call(const struct FaultInjector *self, enum GbSimStep step,
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
record_step(struct FaultInjector *self, enum GbSimStep step, uint32_t index)
{
    struct GbFaultMatrixStep recorded = {.index = index, .step = step};

    g_strlcpy(recorded.process,
              self->site_processes[GB_FAULT_SITE_CURRENT]->node.name,
              sizeof(recorded.process));
    for (int i = 0; i < GB_FAULT_SITE_COUNT; i++) {
        const struct GbSimProcess *process = self->site_processes[i];
        bool is_current =
            i != GB_FAULT_SITE_CURRENT &&
            process == self->site_processes[GB_FAULT_SITE_CURRENT];

        if (process != NULL && !is_current) {
            g_strlcpy(recorded.site_processes[i], process->node.name,
                      sizeof(recorded.site_processes[i]));
        }
    }
    g_array_append_val(self->steps, recorded);
}

static void
inject_fault(struct FaultInjector *self,
             const struct GbFaultInjection *injection)
{
    struct GbSimProcess *process = self->site_processes[injection->site];

    if (process == NULL) {
        process = self->site_processes[GB_FAULT_SITE_CURRENT];
    }
    self->injection_count++;
    self->has_hit_caller |= process->role == GB_SIM_CALLER;
    self->has_hit_balancer |= process->role == GB_SIM_BALANCER;
    GbSimulation_Trace(self->simulation, "FAULT %s at %s",
                       injection->fault->name, process->node.name);
    injection->fault->inject(self->simulation, process);
}

static void
injector_step(struct GbSimObserver *observer, enum GbSimStep step,
              struct GbSimProcess *process, struct GbBytes datagram)
{
    struct FaultInjector *self = (struct FaultInjector *)observer;
    uint32_t index = self->step_count++;

    self->site_processes[GB_FAULT_SITE_CURRENT] = process;
    if (process->role == GB_SIM_AGENT) {
        self->site_processes[GB_FAULT_SITE_LAST_AGENT] = process;
    }
    else if (process->role == GB_SIM_BALANCER) {
        self->site_processes[GB_FAULT_SITE_LAST_BALANCER] = process;
    }
    if (self->steps != NULL && belongs_to_call(self, step, datagram)) {
        record_step(self, step, index);
    }
    for (uint32_t i = 0; self->cell != NULL && i < self->cell->injection_count;
         i++) {
        if (self->cell->injections[i].step == index) {
            inject_fault(self, &self->cell->injections[i]);
        }
    }
}

static const struct GbSimObserverClass injector_class = {
    .step = injector_step,
};

static void
start_all(struct GbSimulation *simulation)
{
    /* The fabric sends as many datagrams to a paused balancer as to any other,
     * so that with fewer balancers most resends may be lost. */
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
    GbSimulation_RunUntil(simulation, SYNC_US);
}

static void
call_in_new_sessions(struct GbSimulation *simulation, const char *operation,
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
publish_short_queue_limit(struct GbSimulation *simulation)
{
    static const struct GbSimPublication publication = {
        .revision = 2, .queue = SHORT_QUEUE_LIMIT};

    for (guint i = 0; i < simulation->processes->len; i++) {
        struct GbSimProcess *process = simulation->processes->pdata[i];

        if (process->role == GB_SIM_AGENT) {
            process->agent.target.service_time_us = LONG_SERVICE_TIME_US;
        }
    }
    GbSimPlatform_Publish(&simulation->platform, &publication);
    GbSimulation_RunUntil(simulation, simulation->now_us + SYNC_US);
}

/* Starts the processes and runs the call until it ends. */
static struct GbSimCall *
run_call(struct GbSimulation *simulation, struct FaultInjector *injector,
         const struct GbFaultMatrixCall *matrix_call)
{
    struct GbSimProcess *caller;
    struct GbSimCall *call;

    start_all(simulation);
    caller = GbSimulation_FindProcess(simulation, "c1");
    if (matrix_call->is_bound) {
        GbSimulation_StartCall(simulation, caller, "s", "check", "before");
        GbSimulation_RunUntilCallsEnd(simulation,
                                      simulation->now_us + CALL_TIMEOUT_US);
    }
    if (matrix_call->is_refused) {
        publish_short_queue_limit(simulation);
    }
    if (matrix_call->is_queued) {
        call_in_new_sessions(simulation, "check", "filler", FILLER_CALLS);
        GbSimulation_RunUntil(simulation, simulation->now_us + 12000);
    }
    simulation->observer = &injector->super;
    call = GbSimulation_StartCall(simulation, caller, "s",
                                  matrix_call->operation, "call");
    GbSimulation_RunUntilCallsEnd(simulation,
                                  simulation->now_us + CALL_TIMEOUT_US);
    return call;
}

static bool
must_be_answered(const struct GbFaultMatrixCell *cell,
                 const struct FaultInjector *injector)
{
    if (cell->call->is_refused ||
        (injector->has_hit_caller &&
         cell->injections[0].fault->affects_process)) {
        return false;
    }
    switch (cell->injections[0].fault->expectation) {
    case GB_EXPECT_ANSWERED:
        return true;
    case GB_EXPECT_ANSWERED_IF_BALANCER_FAILED:
        return injector->has_hit_balancer;
    default:
        return false;
    }
}

GArray *
GbFaultMatrix_RecordSteps(const struct GbFaultMatrixCall *call, uint64_t seed)
{
    struct GbSimulation simulation;
    struct FaultInjector injector = {.super = {&injector_class}};

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
                      bool records_trace)
{
    struct GbSimulation simulation;
    struct FaultInjector injector = {.super = {&injector_class}, .cell = cell};
    struct GbSimCall *call;
    char *failure = NULL;

    GbSimulation_Init(&simulation, seed, records_trace);
    injector.simulation = &simulation;
    call = run_call(&simulation, &injector, cell->call);
    if (cell->injection_count == 1 && injector.injection_count == 0) {
        GbSimulation_RecordViolation(&simulation, "the step was not reached");
    }
    if (cell->injection_count == 1 && must_be_answered(cell, &injector) &&
        call->outcome != GB_OUTCOME_ANSWERED && call->deliveries > 0) {
        GbSimulation_RecordViolation(&simulation, "%s was not answered",
                                     call->key);
    }
    /* A leaving target must not run any of these calls. */
    GbSimulation_RunUntil(&simulation, simulation.now_us + PROBE_DELAY_US);
    call_in_new_sessions(&simulation, "check", "probe", 2);
    call_in_new_sessions(&simulation, "look", "probe", 2);
    GbSimulation_RunUntilCallsEnd(&simulation,
                                  simulation.now_us + CALL_TIMEOUT_US);
    GbSimulation_RunUntil(&simulation, simulation.now_us + LATE_DATAGRAMS_US);
    GbSimulation_CheckFinalState(&simulation);
    if (simulation.violations->len > 0) {
        failure =
            g_strconcat((char *)simulation.violations->pdata[0],
                        records_trace ? "\n" : NULL,
                        records_trace ? simulation.trace->str : NULL, NULL);
    }
    GbSimulation_Finish(&simulation);
    return failure;
}
