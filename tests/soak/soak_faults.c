#include "soak_faults.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "soak_process.h"
#include "soak_targets.h"

#define GAP_MIN_MS 200
#define GAP_MAX_MS 1500
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 3000
#define RESTART_MAX_MS 400
/* Time from the crash of a target until its entry in the store expires. */
#define ENTRY_EXPIRY_MS 2000
/* Time from the end of a target until another one may use its address. */
#define ADDRESS_REUSE_MS 2000
#define HTTP_UNAVAILABLE 503
/* Request timeouts that a change of the configuration gives to all routes. */
static const uint32_t timeouts_ms[] = {1000, 2000, 5000};

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

static struct SoakTarget *
draw_target(struct SoakHarness *harness, enum SoakTargetState state)
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
    struct SoakTarget *target = draw_target(harness, SOAK_TARGET_READY);

    if (target == NULL ||
        SoakHarness_FaultRandom(harness, SOAK_BALANCERS + SOAK_AGENTS_MAX) <
            SOAK_BALANCERS) {
        return draw_balancer(harness);
    }
    return target->agent;
}

static uint32_t
count_ready_targets(const struct SoakHarness *harness, uint32_t service)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        count += harness->targets[i].state == SOAK_TARGET_READY &&
                 harness->targets[i].service == service;
    }
    return count;
}

static int64_t
draw_duration_ms(struct SoakHarness *harness, int64_t min_ms, int64_t max_ms)
{
    return min_ms +
           SoakHarness_FaultRandom(harness, (uint32_t)(max_ms - min_ms));
}

static void
defer(struct SoakFaults *self, int64_t after_ms,
      void (*run)(struct SoakFaults *, void *), void *context, bool is_fault)
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
start_target_and_agent(struct SoakFaults *self, struct SoakTarget *target,
                       uint32_t service)
{
    (void)self;
    SoakTarget_Start(target, service);
    target->agent->service = service;
    if (target->agent->process == NULL) {
        SoakProcess_Start(target->agent);
    }
}

/* Starts the target again, with a new entry in the store. */
static void
restart_target(struct SoakFaults *self, void *context)
{
    struct SoakTarget *target = context;

    if (target->state == SOAK_TARGET_CRASHED) {
        start_target_and_agent(self, target, target->service);
    }
}

static void
expire_entry(struct SoakFaults *self, void *context)
{
    (void)self;
    SoakTarget_ExpireCrashedEntry(context);
}

/* Stops the target and then its agent. */
static void
stop_target(struct SoakFaults *self, void *context)
{
    struct SoakTarget *target = context;

    (void)self;
    SoakTarget_Stop(target);
    SoakProcess_Stop(target->agent, -1);
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
    struct SoakTarget *target = draw_target(self->harness, SOAK_TARGET_READY);

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
    int64_t after_ms = draw_duration_ms(self->harness, 0, RESTART_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants, "%s is killed",
                           process->name);
    SoakProcess_Kill(process, after_ms);
    defer(self, after_ms, do_nothing, NULL, true);
}

static void
kill_all(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;

    SoakInvariants_LogNote(&harness->invariants, "all processes are killed");
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Kill(&harness->balancers[i],
                         draw_duration_ms(harness, 0, RESTART_MAX_MS));
    }
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        if (harness->targets[i].state == SOAK_TARGET_READY) {
            SoakProcess_Kill(&harness->agents[i],
                             draw_duration_ms(harness, 0, RESTART_MAX_MS));
        }
    }
    defer(self, RESTART_MAX_MS, do_nothing, NULL, true);
}

static void
pause_process(struct SoakFaults *self)
{
    struct SoakProcess *process = draw_process(self->harness);
    int64_t duration_ms =
        draw_duration_ms(self->harness, FAULT_MIN_MS, FAULT_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants,
                           "%s is paused for %" PRId64 " ms", process->name,
                           duration_ms);
    SoakProcess_Pause(process);
    defer(self, duration_ms, resume_process, process, true);
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
    int64_t duration_ms =
        draw_duration_ms(self->harness, FAULT_MIN_MS, FAULT_MAX_MS);

    for (uint32_t i = 0; i < count; i++) {
        struct SoakProcess *process = draw_process(self->harness);

        SoakInvariants_LogNote(
            &self->harness->invariants,
            "store connections of %s: %s for %" PRId64 " ms", process->name,
            SoakProxyMode_Name(mode), duration_ms);
        SoakProxy_SetMode(&process->proxy, mode);
        defer(self, duration_ms, restore_proxy, process, true);
    }
}

static void
refuse_store_requests(struct SoakFaults *self)
{
    int64_t duration_ms =
        draw_duration_ms(self->harness, FAULT_MIN_MS, FAULT_MAX_MS);

    SoakInvariants_LogNote(&self->harness->invariants,
                           "the store answers with 503 for %" PRId64 " ms",
                           duration_ms);
    self->harness->store.error_status = HTTP_UNAVAILABLE;
    defer(self, duration_ms, restore_store, NULL, true);
}

static void
compact_store(struct SoakFaults *self)
{
    SoakInvariants_LogNote(&self->harness->invariants,
                           "the store discards its history");
    SoakStore_Compact(&self->harness->store);
    defer(self, 0, do_nothing, NULL, true);
}

static void
crash_target(struct SoakFaults *self)
{
    struct SoakTarget *target = draw_target(self->harness, SOAK_TARGET_READY);
    int64_t duration_ms =
        draw_duration_ms(self->harness, FAULT_MIN_MS, FAULT_MAX_MS);

    if (target == NULL || target->crashed_incarnation != 0 ||
        count_ready_targets(self->harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(
        &self->harness->invariants,
        "the target of %s crashes and is restarted after %" PRId64 " ms",
        target->agent->name, duration_ms);
    SoakTarget_Crash(target);
    defer(self, ENTRY_EXPIRY_MS, expire_entry, target, true);
    defer(self, duration_ms, restart_target, target, true);
}

/* Starts a target at an unused address, which may have belonged to another
 * service, and drains and stops an existing one. */
static void
replace_target(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *replacement = draw_target(harness, SOAK_TARGET_NONE);
    struct SoakTarget *retiring = draw_target(harness, SOAK_TARGET_READY);

    if (replacement == NULL || retiring == NULL ||
        replacement->agent->process != NULL ||
        Soak_NowMs() - replacement->draining_since_ms <
            SOAK_DRAIN_PROPAGATION_MS + 2 * ADDRESS_REUSE_MS) {
        return;
    }
    SoakInvariants_LogNote(
        &harness->invariants, "%s replaces %s of service %u",
        replacement->agent->name, retiring->agent->name, retiring->service);
    start_target_and_agent(self, replacement, retiring->service);
    SoakTarget_Drain(retiring);
    defer(self,
          SOAK_DRAIN_PROPAGATION_MS + draw_duration_ms(harness, 500, 2000),
          stop_target, retiring, false);
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
    route->changed_ms = Soak_NowMs();
    SoakInvariants_LogNote(&harness->invariants, "the route of port %u was %s",
                           route->port,
                           route->is_listed ? "added" : "removed");
    SoakHarness_PublishRoutes(harness);
}

static void
change_timeouts(struct SoakFaults *self)
{
    self->harness->timeout_ms = timeouts_ms[SoakHarness_FaultRandom(
        self->harness, G_N_ELEMENTS(timeouts_ms))];
    SoakHarness_PublishRoutes(self->harness);
}

struct SoakFaultKind {
    /* Relative probability with which the kind is drawn. */
    uint32_t weight;
    void (*inject)(struct SoakFaults *self);
};

static const struct SoakFaultKind fault_kinds[] = {
    {4, restart_balancer},
    {4, restart_agent},
    {4, kill_process},
    {1, kill_all},
    {4, pause_process},
    {2, reload_process},
    {5, disturb_store_connections},
    {2, refuse_store_requests},
    {2, compact_store},
    {3, crash_target},
    {4, replace_target},
    {3, change_route},
    {2, change_timeouts},
};

static void
inject_drawn_fault(struct SoakFaults *self)
{
    uint32_t total = 0;
    uint32_t drawn;

    for (size_t i = 0; i < G_N_ELEMENTS(fault_kinds); i++) {
        total += fault_kinds[i].weight;
    }
    drawn = SoakHarness_FaultRandom(self->harness, total);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_kinds); i++) {
        if (drawn < fault_kinds[i].weight) {
            fault_kinds[i].inject(self);
            return;
        }
        drawn -= fault_kinds[i].weight;
    }
}

void
SoakFaults_Init(struct SoakFaults *self, struct SoakHarness *harness)
{
    self->harness = harness;
    self->next_fault_ms = 0;
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
            now_ms + draw_duration_ms(self->harness, GAP_MIN_MS, GAP_MAX_MS);
    }
}

bool
SoakFaults_AllEnded(const struct SoakFaults *self)
{
    return self->deferred_actions->len == 0;
}
