#include "soak_faults.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "soak_process.h"
#include "soak_target_changes.h"
#include "soak_targets.h"

#define GAP_MIN_MS 200
#define GAP_MAX_MS 1500
#define RESTART_MAX_MS 400
#define HTTP_UNAVAILABLE 503
#define SERIES_GAP_MIN_MS 100
#define SERIES_GAP_MAX_MS 1100
#define PERCENT 100
#define PLANNED_ONLY_PERCENT 60
/* Time from the exit of a balancer until it is ready again. */
#define BALANCER_START_MS 2500
/* Values that a change of the configuration gives to all routes. */
static const uint32_t timeouts_ms[] = {1000, 2000, 5000};
static const uint32_t idle_limits_ms[] = {5000, 9000, 15000, 30000, 60000};

/* Action that ends a fault, or is a later step of a planned change. */
struct SoakDeferredAction {
    int64_t due_ms;
    void (*run)(struct SoakFaults *faults, void *context);
    void *context;
    bool is_fault;
};

static struct SoakProcess *
draw_balancer(struct SoakHarness *harness)
{
    return &harness
                ->balancers[SoakHarness_FaultRandom(harness, SOAK_BALANCERS)];
}

struct SoakTarget *
SoakFaults_DrawTarget(struct SoakHarness *harness, enum SoakTargetState state)
{
    uint32_t start = SoakHarness_FaultRandom(harness, SOAK_AGENTS_MAX);

    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        struct SoakTarget *target =
            &harness->targets[(start + i) % SOAK_AGENTS_MAX];

        if (target->state == state) {
            return target;
        }
    }
    return NULL;
}

static struct SoakProcess *
draw_process(struct SoakHarness *harness)
{
    struct SoakTarget *target =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_READY);

    if (target == NULL ||
        SoakHarness_FaultRandom(harness, SOAK_BALANCERS + SOAK_AGENTS_MAX) <
            SOAK_BALANCERS) {
        return draw_balancer(harness);
    }
    return target->agent;
}

int64_t
SoakFaults_DrawDurationMs(struct SoakHarness *harness, int64_t min_ms,
                          int64_t max_ms)
{
    return min_ms +
           SoakHarness_FaultRandom(harness, (uint32_t)(max_ms - min_ms));
}

void
SoakFaults_Defer(struct SoakFaults *self, int64_t after_ms,
                 void (*run)(struct SoakFaults *, void *), void *context,
                 bool is_fault)
{
    struct SoakDeferredAction *action = g_new0(struct SoakDeferredAction, 1);

    action->due_ms = Soak_NowMs() + after_ms;
    action->run = run;
    action->context = context;
    action->is_fault = is_fault;
    if (is_fault) {
        SoakInvariants_BeginFault(&self->harness->invariants);
    }
    g_ptr_array_add(self->deferred_actions, action);
}

static void
do_nothing(struct SoakFaults *self, void *context)
{
    (void)self;
    (void)context;
}

static void
resume_process(struct SoakFaults *self, void *context)
{
    (void)self;
    SoakProcess_Resume(context);
}

static void
restore_proxy(struct SoakFaults *self, void *context)
{
    struct SoakProcess *process = context;

    (void)self;
    SoakProxy_SetMode(&process->proxy, SOAK_PROXY_FORWARD);
}

static void
restore_store(struct SoakFaults *self, void *context)
{
    (void)context;
    self->harness->store.error_status = 0;
}

static void
restart_balancer(struct SoakFaults *self)
{
    struct SoakProcess *process = draw_balancer(self->harness);

    SoakInvariants_LogNote(&self->harness->invariants, "%s is restarted",
                           process->name);
    SoakProcess_Stop(process, RESTART_MAX_MS);
}

static void
restart_agent(struct SoakFaults *self)
{
    struct SoakTarget *target =
        SoakFaults_DrawTarget(self->harness, SOAK_TARGET_READY);

    if (target != NULL) {
        SoakInvariants_LogNote(&self->harness->invariants, "%s is restarted",
                               target->agent->name);
        SoakProcess_Stop(target->agent, RESTART_MAX_MS);
    }
}

static void
kill_process(struct SoakFaults *self)
{
    struct SoakProcess *process = draw_process(self->harness);
    int64_t after_ms =
        SoakFaults_DrawDurationMs(self->harness, 0, RESTART_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants, "%s is killed",
                           process->name);
    SoakProcess_Kill(process, after_ms);
    SoakFaults_Defer(self, after_ms, do_nothing, NULL, true);
}

static void
kill_all(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;

    SoakInvariants_LogNote(&harness->invariants, "all processes are killed");
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Kill(
            &harness->balancers[i],
            SoakFaults_DrawDurationMs(harness, 0, RESTART_MAX_MS));
    }
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        if (harness->targets[i].state == SOAK_TARGET_READY) {
            SoakProcess_Kill(
                &harness->agents[i],
                SoakFaults_DrawDurationMs(harness, 0, RESTART_MAX_MS));
        }
    }
    SoakFaults_Defer(self, RESTART_MAX_MS, do_nothing, NULL, true);
}

static void
pause_process(struct SoakFaults *self)
{
    struct SoakProcess *process = draw_process(self->harness);
    int64_t duration_ms = SoakFaults_DrawDurationMs(
        self->harness, SOAK_FAULT_MIN_MS, SOAK_FAULT_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants,
                           "%s is paused for %" PRId64 " ms", process->name,
                           duration_ms);
    SoakProcess_Pause(process);
    SoakFaults_Defer(self, duration_ms, resume_process, process, true);
}

static void
reload_process(struct SoakFaults *self)
{
    struct SoakProcess *process = draw_process(self->harness);

    if (SoakProcess_IsUp(process)) {
        GbChildProcess_Signal(process->process, SIGHUP);
    }
}

static void
disturb_store_connections(struct SoakFaults *self)
{
    enum SoakProxyMode mode =
        SOAK_PROXY_DELAY +
        SoakHarness_FaultRandom(self->harness, SOAK_PROXY_RESET);
    uint32_t count =
        1 + SoakHarness_FaultRandom(self->harness, SOAK_BALANCERS);
    int64_t duration_ms = SoakFaults_DrawDurationMs(
        self->harness, SOAK_FAULT_MIN_MS, SOAK_FAULT_MAX_MS);

    for (uint32_t i = 0; i < count; i++) {
        struct SoakProcess *process = draw_process(self->harness);

        SoakInvariants_LogNote(
            &self->harness->invariants,
            "store connections of %s: %s for %" PRId64 " ms", process->name,
            SoakProxyMode_Name(mode), duration_ms);
        SoakProxy_SetMode(&process->proxy, mode);
        SoakFaults_Defer(self, duration_ms, restore_proxy, process, true);
    }
}

static void
refuse_store_requests(struct SoakFaults *self)
{
    int64_t duration_ms = SoakFaults_DrawDurationMs(
        self->harness, SOAK_FAULT_MIN_MS, SOAK_FAULT_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants,
                           "the store answers with 503 for %" PRId64 " ms",
                           duration_ms);
    self->harness->store.error_status = HTTP_UNAVAILABLE;
    SoakFaults_Defer(self, duration_ms, restore_store, NULL, true);
}

static void
compact_store(struct SoakFaults *self)
{
    SoakInvariants_LogNote(&self->harness->invariants,
                           "the store discards its history");
    SoakStore_Compact(&self->harness->store);
    SoakFaults_Defer(self, 0, do_nothing, NULL, true);
}

static void
stop_for_restart(struct SoakFaults *self, void *context)
{
    struct SoakProcess *process = context;

    (void)self;
    if (SoakProcess_IsUp(process)) {
        SoakProcess_Stop(process, RESTART_MAX_MS);
    }
}

/* Restarts the agents of a service in turn, some while others still stop, and
 * at the same time the balancers in turn. */
static void
restart_in_turn(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    uint32_t service = SoakHarness_FaultRandom(harness, SOAK_SERVICES);
    int64_t gap_ms = SoakFaults_DrawDurationMs(harness, SERIES_GAP_MIN_MS,
                                               SERIES_GAP_MAX_MS);
    int64_t agent_ms = 0;
    int64_t balancer_ms = 0;

    SoakInvariants_LogNote(&harness->invariants,
                           "the agents of service %u and the balancers are "
                           "restarted in turn, one each %" PRId64 " ms",
                           service, gap_ms);
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        struct SoakTarget *target = &harness->targets[i];

        if (target->state == SOAK_TARGET_READY && target->service == service) {
            SoakFaults_Defer(self, agent_ms, stop_for_restart, target->agent,
                             false);
            agent_ms += gap_ms;
        }
    }
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakFaults_Defer(self, balancer_ms, stop_for_restart,
                         &harness->balancers[i], false);
        balancer_ms += gap_ms + BALANCER_START_MS;
    }
}

static void
change_route(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    /* The first route of each service stays listed. */
    struct SoakRoute *route =
        &harness->routes[SOAK_SERVICES +
                         SoakHarness_FaultRandom(harness, SOAK_ROUTES_MAX -
                                                              SOAK_SERVICES)];

    route->is_listed = !route->is_listed;
    route->previous_changed_ms = route->changed_ms;
    route->changed_ms = Soak_NowMs();
    route->changed_version = harness->routes_version + 1;
    SoakInvariants_LogNote(&harness->invariants, "the route of port %u was %s",
                           route->port,
                           route->is_listed ? "added" : "removed");
    SoakHarness_PublishRoutes(harness);
}

static void
change_timeouts(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;

    harness->timeout_ms = timeouts_ms[SoakHarness_FaultRandom(
        harness, G_N_ELEMENTS(timeouts_ms))];
    harness->idle_limit_ms = idle_limits_ms[SoakHarness_FaultRandom(
        harness, G_N_ELEMENTS(idle_limits_ms))];
    SoakHarness_PublishRoutes(harness);
}

struct SoakFaultKind {
    /* Relative probabilities with which the kind is drawn, in runs with all
     * kinds and in runs with planned work and odd entries only. */
    uint32_t weight;
    uint32_t planned_weight;
    void (*inject)(struct SoakFaults *self);
};

static const struct SoakFaultKind fault_kinds[] = {
    {4, 4, restart_balancer},
    {4, 4, restart_agent},
    {1, 2, restart_in_turn},
    {4, 0, kill_process},
    {1, 0, kill_all},
    {4, 0, pause_process},
    {2, 1, reload_process},
    {5, 0, disturb_store_connections},
    {2, 0, refuse_store_requests},
    {2, 0, compact_store},
    {3, 0, SoakTargetChanges_Crash},
    {1, 1, SoakTargetChanges_CrashAndDrain},
    {4, 2, SoakTargetChanges_Replace},
    {2, 3, SoakTargetChanges_Add},
    {2, 3, SoakTargetChanges_PutForeignEntry},
    {1, 1, SoakTargetChanges_SpoilEntry},
    {3, 2, change_route},
    {2, 2, change_timeouts},
};

static uint32_t
weight_of(const struct SoakFaults *self, const struct SoakFaultKind *kind)
{
    return self->is_planned_only ? kind->planned_weight : kind->weight;
}

static void
inject_drawn_fault(struct SoakFaults *self)
{
    uint32_t total = 0;
    uint32_t drawn;

    for (size_t i = 0; i < G_N_ELEMENTS(fault_kinds); i++) {
        total += weight_of(self, &fault_kinds[i]);
    }
    drawn = SoakHarness_FaultRandom(self->harness, total);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_kinds); i++) {
        uint32_t weight = weight_of(self, &fault_kinds[i]);

        if (drawn < weight) {
            fault_kinds[i].inject(self);
            return;
        }
        drawn -= weight;
    }
}

void
SoakFaults_Init(struct SoakFaults *self, struct SoakHarness *harness)
{
    self->harness = harness;
    self->next_fault_ms = 0;
    self->is_planned_only =
        SoakHarness_FaultRandom(harness, PERCENT) < PLANNED_ONLY_PERCENT;
    SoakInvariants_LogNote(&harness->invariants, "%s, seeds %d, idle limit %u",
                           self->is_planned_only ? "planned work only"
                                                 : "all faults",
                           harness->seeds, harness->idle_limit_ms);
    self->deferred_actions = g_ptr_array_new_with_free_func(g_free);
}

void
SoakFaults_Finish(struct SoakFaults *self)
{
    g_ptr_array_unref(self->deferred_actions);
}

void
SoakFaults_Tick(struct SoakFaults *self, bool is_active)
{
    int64_t now_ms = Soak_NowMs();

    for (guint i = self->deferred_actions->len; i > 0; i--) {
        struct SoakDeferredAction action =
            *(struct SoakDeferredAction *)g_ptr_array_index(
                self->deferred_actions, i - 1);

        if (now_ms >= action.due_ms) {
            g_ptr_array_remove_index_fast(self->deferred_actions, i - 1);
            action.run(self, action.context);
            if (action.is_fault) {
                SoakInvariants_EndFault(&self->harness->invariants);
            }
        }
    }
    if (is_active && now_ms >= self->next_fault_ms) {
        inject_drawn_fault(self);
        self->next_fault_ms =
            now_ms +
            SoakFaults_DrawDurationMs(self->harness, GAP_MIN_MS, GAP_MAX_MS);
    }
}

bool
SoakFaults_AllEnded(const struct SoakFaults *self)
{
    return self->deferred_actions->len == 0;
}
