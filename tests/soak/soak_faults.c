#include "soak_faults.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "soak_fleet.h"
#include "soak_targets.h"

#define GAP_MIN_MS 200
#define GAP_MAX_MS 1500
#define LAST_MIN_MS 200
#define LAST_MAX_MS 3000
#define RESTART_MAX_MS 400
/* Entries of targets that fell silent lapse after this time. */
#define LAPSE_MS 2000
/* From a target's end until its address is used again. */
#define REUSE_MS 2000
#define HTTP_BUSY 503
/* Time-outs that the configuration gives to routes. */
static const uint32_t timeouts_ms[] = {1000, 2000, 5000};

/* What ends or follows later. */
struct SoakUndo {
    int64_t due_ms;
    void (*run)(struct SoakFaults *faults, void *subject);
    void *subject;
    bool is_trouble;
};

static struct SoakProcess *
any_balancer(struct SoakWorld *world)
{
    return &world->balancers[SoakWorld_Plan(world, SOAK_BALANCERS)];
}

static struct SoakTarget *
any_target(struct SoakWorld *world, enum SoakTargetState state)
{
    uint32_t start = SoakWorld_Plan(world, SOAK_PLACES);

    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        struct SoakTarget *target = &world->targets[(start + i) % SOAK_PLACES];

        if (target->state == state) {
            return target;
        }
    }
    return NULL;
}

static struct SoakProcess *
any_process(struct SoakWorld *world)
{
    struct SoakTarget *target = any_target(world, SOAK_TARGET_READY);

    if (target == NULL ||
        SoakWorld_Plan(world, SOAK_BALANCERS + SOAK_PLACES) < SOAK_BALANCERS) {
        return any_balancer(world);
    }
    return target->agent;
}

static uint32_t
ready_targets(const struct SoakWorld *world, uint32_t service)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        count += world->targets[i].state == SOAK_TARGET_READY &&
                 world->targets[i].service == service;
    }
    return count;
}

static int64_t
any_time(struct SoakWorld *world, int64_t min_ms, int64_t max_ms)
{
    return min_ms + SoakWorld_Plan(world, (uint32_t)(max_ms - min_ms));
}

static void
later(struct SoakFaults *self, int64_t after_ms,
      void (*run)(struct SoakFaults *, void *), void *subject, bool is_trouble)
{
    struct SoakUndo *undo = g_new0(struct SoakUndo, 1);

    undo->due_ms = Soak_NowMs() + after_ms;
    undo->run = run;
    undo->subject = subject;
    undo->is_trouble = is_trouble;
    if (is_trouble) {
        SoakPromises_Begin(&self->world->promises);
    }
    g_ptr_array_add(self->undos, undo);
}

static void
nothing(struct SoakFaults *self, void *subject)
{
    (void)self;
    (void)subject;
}

static void
resume(struct SoakFaults *self, void *subject)
{
    (void)self;
    SoakProcess_Resume(subject);
}

static void
pass_again(struct SoakFaults *self, void *subject)
{
    struct SoakProcess *process = subject;

    (void)self;
    SoakProxy_SetMode(&process->proxy, SOAK_PROXY_PASS);
}

static void
serve_again(struct SoakFaults *self, void *subject)
{
    (void)subject;
    self->world->store.refused_status = 0;
}

static void
start_agent(struct SoakFaults *self, struct SoakTarget *target,
            uint32_t service)
{
    (void)self;
    SoakTarget_Start(target, service);
    target->agent->service = service;
    if (target->agent->process == NULL) {
        SoakProcess_Start(target->agent);
    }
}

/* A target that crashed is there again, with a new entry. */
static void
start_again(struct SoakFaults *self, void *subject)
{
    struct SoakTarget *target = subject;

    if (target->state == SOAK_TARGET_CRASHED) {
        start_agent(self, target, target->service);
    }
}

static void
lapse(struct SoakFaults *self, void *subject)
{
    (void)self;
    SoakTarget_Lapse(subject);
}

/* The agent is stopped after its target has ended. */
static void
end_target(struct SoakFaults *self, void *subject)
{
    struct SoakTarget *target = subject;

    (void)self;
    SoakTarget_End(target);
    SoakProcess_Stop(target->agent, -1);
}

static void
restart_balancer(struct SoakFaults *self)
{
    struct SoakProcess *process = any_balancer(self->world);

    SoakPromises_Note(&self->world->promises, "%s is restarted",
                      process->name);
    SoakProcess_Stop(process, RESTART_MAX_MS);
}

static void
restart_agent(struct SoakFaults *self)
{
    struct SoakTarget *target = any_target(self->world, SOAK_TARGET_READY);

    if (target != NULL) {
        SoakPromises_Note(&self->world->promises, "%s is restarted",
                          target->agent->name);
        SoakProcess_Stop(target->agent, RESTART_MAX_MS);
    }
}

static void
kill_process(struct SoakFaults *self)
{
    struct SoakProcess *process = any_process(self->world);
    int64_t after_ms = any_time(self->world, 0, RESTART_MAX_MS);

    SoakPromises_Note(&self->world->promises, "%s is killed", process->name);
    SoakProcess_Kill(process, after_ms);
    later(self, after_ms, nothing, NULL, true);
}

static void
kill_all(struct SoakFaults *self)
{
    struct SoakWorld *world = self->world;

    SoakPromises_Note(&world->promises, "all processes are killed");
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Kill(&world->balancers[i],
                         any_time(world, 0, RESTART_MAX_MS));
    }
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        if (world->targets[i].state == SOAK_TARGET_READY) {
            SoakProcess_Kill(&world->agents[i],
                             any_time(world, 0, RESTART_MAX_MS));
        }
    }
    later(self, RESTART_MAX_MS, nothing, NULL, true);
}

static void
pause_process(struct SoakFaults *self)
{
    struct SoakProcess *process = any_process(self->world);
    int64_t last_ms = any_time(self->world, LAST_MIN_MS, LAST_MAX_MS);

    SoakPromises_Note(&self->world->promises,
                      "%s is paused for %" PRId64 " ms", process->name,
                      last_ms);
    SoakProcess_Pause(process);
    later(self, last_ms, resume, process, true);
}

static void
reload_process(struct SoakFaults *self)
{
    struct SoakProcess *process = any_process(self->world);

    if (SoakProcess_IsUp(process)) {
        GbChildProcess_Signal(process->process, SIGHUP);
    }
}

static void
harm_connections(struct SoakFaults *self)
{
    enum SoakProxyMode mode =
        SOAK_PROXY_DELAY + SoakWorld_Plan(self->world, SOAK_PROXY_RESET);
    uint32_t count = 1 + SoakWorld_Plan(self->world, SOAK_BALANCERS);
    int64_t last_ms = any_time(self->world, LAST_MIN_MS, LAST_MAX_MS);

    for (uint32_t i = 0; i < count; i++) {
        struct SoakProcess *process = any_process(self->world);

        SoakPromises_Note(&self->world->promises,
                          "store connections of %s: %s for %" PRId64 " ms",
                          process->name, SoakProxyMode_Name(mode), last_ms);
        SoakProxy_SetMode(&process->proxy, mode);
        later(self, last_ms, pass_again, process, true);
    }
}

static void
stop_store(struct SoakFaults *self)
{
    int64_t last_ms = any_time(self->world, LAST_MIN_MS, LAST_MAX_MS);

    SoakPromises_Note(&self->world->promises,
                      "the store is busy for %" PRId64 " ms", last_ms);
    self->world->store.refused_status = HTTP_BUSY;
    later(self, last_ms, serve_again, NULL, true);
}

static void
compact_store(struct SoakFaults *self)
{
    SoakPromises_Note(&self->world->promises, "the store drops its history");
    SoakStore_Compact(&self->world->store);
    later(self, 0, nothing, NULL, true);
}

static void
crash_target(struct SoakFaults *self)
{
    struct SoakTarget *target = any_target(self->world, SOAK_TARGET_READY);
    int64_t last_ms = any_time(self->world, LAST_MIN_MS, LAST_MAX_MS);

    if (target == NULL || target->crashed_boot != 0 ||
        ready_targets(self->world, target->service) < 2) {
        return;
    }
    SoakPromises_Note(&self->world->promises,
                      "the target of %s is gone for %" PRId64 " ms",
                      target->agent->name, last_ms);
    SoakTarget_Crash(target);
    later(self, LAPSE_MS, lapse, target, true);
    later(self, last_ms, start_again, target, true);
}

/* A new target starts in a free place, maybe with an address that another
 * service had before; an old one drains and ends. */
static void
replace_target(struct SoakFaults *self)
{
    struct SoakWorld *world = self->world;
    struct SoakTarget *fresh = any_target(world, SOAK_TARGET_NONE);
    struct SoakTarget *old = any_target(world, SOAK_TARGET_READY);

    if (fresh == NULL || old == NULL || fresh->agent->process != NULL ||
        Soak_NowMs() - fresh->draining_ms < SOAK_DRAIN_MS + 2 * REUSE_MS) {
        return;
    }
    SoakPromises_Note(&world->promises, "%s replaces %s of service %u",
                      fresh->agent->name, old->agent->name, old->service);
    start_agent(self, fresh, old->service);
    SoakTarget_Drain(old);
    later(self, SOAK_DRAIN_MS + any_time(world, 500, 2000), end_target, old,
          false);
}

static void
change_route(struct SoakFaults *self)
{
    struct SoakWorld *world = self->world;
    /* The first route of each service stays. */
    struct SoakRoute *route =
        &world->routes[SOAK_SERVICES +
                       SoakWorld_Plan(world, SOAK_ROUTES_MAX - SOAK_SERVICES)];

    route->is_listed = !route->is_listed;
    route->changed_ms = Soak_NowMs();
    SoakPromises_Note(&world->promises, "the route of port %u is %s",
                      route->port, route->is_listed ? "added" : "dropped");
    SoakWorld_PutRoutes(world);
}

static void
change_timeouts(struct SoakFaults *self)
{
    self->world->timeout_ms =
        timeouts_ms[SoakWorld_Plan(self->world, G_N_ELEMENTS(timeouts_ms))];
    SoakWorld_PutRoutes(self->world);
}

struct SoakFaultKind {
    /* Parts of the total that the kind is drawn with. */
    uint32_t weight;
    void (*begin)(struct SoakFaults *self);
};

static const struct SoakFaultKind kinds[] = {
    {4, restart_balancer}, {4, restart_agent},  {4, kill_process},
    {1, kill_all},         {4, pause_process},  {2, reload_process},
    {5, harm_connections}, {2, stop_store},     {2, compact_store},
    {3, crash_target},     {4, replace_target}, {3, change_route},
    {2, change_timeouts},
};

static void
begin_any(struct SoakFaults *self)
{
    uint32_t total = 0;
    uint32_t drawn;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        total += kinds[i].weight;
    }
    drawn = SoakWorld_Plan(self->world, total);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (drawn < kinds[i].weight) {
            kinds[i].begin(self);
            return;
        }
        drawn -= kinds[i].weight;
    }
}

void
SoakFaults_Init(struct SoakFaults *self, struct SoakWorld *world)
{
    self->world = world;
    self->next_ms = 0;
    self->undos = g_ptr_array_new_with_free_func(g_free);
}

void
SoakFaults_Finish(struct SoakFaults *self)
{
    g_ptr_array_unref(self->undos);
}

void
SoakFaults_Tick(struct SoakFaults *self, bool is_active)
{
    int64_t now_ms = Soak_NowMs();

    for (guint i = self->undos->len; i > 0; i--) {
        struct SoakUndo undo =
            *(struct SoakUndo *)g_ptr_array_index(self->undos, i - 1);

        if (now_ms >= undo.due_ms) {
            g_ptr_array_remove_index_fast(self->undos, i - 1);
            undo.run(self, undo.subject);
            if (undo.is_trouble) {
                SoakPromises_End(&self->world->promises);
            }
        }
    }
    if (is_active && now_ms >= self->next_ms) {
        begin_any(self);
        self->next_ms = now_ms + any_time(self->world, GAP_MIN_MS, GAP_MAX_MS);
    }
}

bool
SoakFaults_IsOver(const struct SoakFaults *self)
{
    return self->undos->len == 0;
}
