#include "support/policy_hosts.h"

#include <string.h>

#include "support/policy_network.h"
#include "support/policy_target.h"

#define LARGE 1000000
#define QUEUE_LIMIT 10000
#define DEADLINE_MS 5000
#define LONG_WORK_DEADLINE_MS 60000
#define OPERATIONS 2
#define LONG_AFTER_MS 100
#define NEVER_LONG_MS 600000
#define COLD_RAMP_MS 4000

struct Wake {
    struct Event super;
    struct Host *host;
    struct CallerHost *caller;
};

static void
wake_host(struct Event *event, void *context)
{
    struct Host *host = ((struct Wake *)event)->host;

    (void)context;
    if (host->wake_us == event->at_us) {
        host->wake_us = GB_TIMER_NEVER;
        GbAgent_Tick(&host->agent);
        policy_fleet_arm(host);
    }
}

static void
wake_caller(struct Event *event, void *context)
{
    struct CallerHost *caller = ((struct Wake *)event)->caller;

    (void)context;
    if (caller->wake_us == event->at_us) {
        caller->wake_us = GB_TIMER_NEVER;
        GbCaller_Tick(&caller->caller);
    }
}

static const struct GbAgentPortClass host_port_class = {
    .send_reply = policy_host_reply,
    .send_to_member = policy_host_send_member,
    .start_target_request = policy_target_start,
    .cancel_target_request = policy_target_cancel,
    .extend_window = policy_target_allow,
};

/* Operation 1 is the work of the service, operation 2 the longer requests. */
static struct GbDocument *
new_document(const struct Scenario *scenario, enum Policy policy)
{
    struct GbDocument *document = GbDocument_New();
    struct GbService *service = g_new0(struct GbService, 1);
    struct GbOperation *operations = g_new0(struct GbOperation, OPERATIONS);
    bool is_long_only = scenario->demand == DEMAND_LONG_ONLY;

    for (uint16_t i = 0; i < OPERATIONS; i++) {
        operations[i].id = i + 1;
        operations[i].is_idempotent = !scenario->is_non_idempotent;
        operations[i].work_class =
            is_long_only ? GB_CLASS_LONG : GB_CLASS_SHORT;
        operations[i].deadline_ms =
            is_long_only ? LONG_WORK_DEADLINE_MS : DEADLINE_MS;
        operations[i].max_answer_bytes = LARGE;
    }
    if (scenario->demand == DEMAND_LONG_DECLARED &&
        policy != POLICY_TWO_CHOICES_UNCAPPED) {
        operations[1].work_class = GB_CLASS_LONG;
    }
    document->services = service;
    document->service_count = 1;
    g_strlcpy(service->name, "work", GB_NAME_BYTES);
    service->id = SERVICE_ID;
    service->slots = scenario->slots;
    service->operations = operations;
    service->operation_count = OPERATIONS;
    service->limits.flows = LARGE;
    service->limits.queue = QUEUE_LIMIT;
    service->limits.rate_per_s = LARGE;
    service->limits.retry_budget_percent = 10;
    service->ramp_ms = scenario->trouble == TROUBLE_COLD ? COLD_RAMP_MS : 0;
    service->long_after_ms =
        policy == POLICY_TWO_CHOICES_UNCAPPED ? NEVER_LONG_MS : LONG_AFTER_MS;
    return document;
}

/* View of the hosts in [first, first + count). */
static struct GbView *
new_view(struct GbDocument *document, uint32_t first, uint32_t count)
{
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbView *view;

    list->count = count;
    list->instances = g_new0(struct GbInstance, count);
    for (uint32_t i = 0; i < count; i++) {
        struct GbInstance *instance = &list->instances[i];

        g_snprintf(instance->name, GB_NAME_BYTES, "host-%u", first + i);
        instance->id = GbInstance_IdOfName(instance->name);
        instance->role = GB_ROLE_AGENT;
        g_strlcpy(instance->service, "work", GB_NAME_BYTES);
        instance->address.ipv4 = AGENTS_NETWORK + first + i;
        instance->weight = 1;
    }
    view = GbView_New(document, list);
    GbInstanceList_Unref(list);
    return view;
}

static void
init_host(struct PolicyFleet *fleet, uint32_t index)
{
    struct Host *self = &fleet->hosts[index];
    struct GbAgentConfig config = {.incarnation = 1, .service = "work"};
    char name[GB_NAME_BYTES];
    bool is_pooled = fleet->policy == POLICY_HANDOVER;

    g_snprintf(name, sizeof(name), "host-%u", index);
    config.instance_id = GbInstance_IdOfName(name);
    config.address.ipv4 = AGENTS_NETWORK + index;
    self->port.klass = &host_port_class;
    self->fleet = fleet;
    self->index = index;
    self->wake_us = GB_TIMER_NEVER;
    self->works =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&self->waiting);
    GbCounters_Init(&self->counters);
    GbAgent_Init(&self->agent, &config, &self->port, &fleet->clock.super,
                 &fleet->random.super, &self->counters);
    GbAgent_SetView(&self->agent,
                    new_view(fleet->document, is_pooled ? 0 : index,
                             is_pooled ? fleet->scenario->hosts : 1));
    policy_fleet_arm(self);
}

void
policy_fleet_post(struct PolicyFleet *self, struct Event *event,
                  int64_t after_us)
{
    event_queue_push(&self->events, event,
                     self->clock.monotonic_us + after_us);
}

void
policy_fleet_arm_caller(struct CallerHost *caller)
{
    int64_t next_us = GbCaller_NextTimerUs(&caller->caller);

    if (next_us < caller->wake_us) {
        struct Wake *wake = g_new0(struct Wake, 1);

        wake->super.run = wake_caller;
        wake->caller = caller;
        caller->wake_us = MAX(next_us, caller->fleet->clock.monotonic_us);
        event_queue_push(&caller->fleet->events, &wake->super,
                         caller->wake_us);
    }
}

void
policy_fleet_init(struct PolicyFleet *self, const struct Scenario *scenario,
                  enum Policy policy, uint64_t seed)
{
    memset(self, 0, sizeof(*self));
    self->scenario = scenario;
    self->policy = policy;
    GbManualClock_Init(&self->clock, 1000000, 1000000);
    GbSeededRandom_Init(&self->random, seed);
    event_queue_init(&self->events);
    GbCounters_Init(&self->counters);
    self->document = new_document(scenario, policy);
    GbBalancer_Init(&self->balancer, &self->clock.super, &self->counters);
    GbBalancer_SetView(&self->balancer,
                       new_view(self->document, 0, scenario->hosts));
    for (uint32_t i = 0; i < scenario->hosts; i++) {
        self->slowness[i] = 1;
        init_host(self, i);
    }
    for (uint32_t i = 0; i < CALLERS; i++) {
        struct CallerHost *caller = &self->callers[i];

        caller->port.klass = &policy_caller_port_class;
        caller->fleet = self;
        caller->index = i;
        caller->wake_us = GB_TIMER_NEVER;
        GbCaller_Init(&caller->caller, &self->document->services[0],
                      &caller->port, &self->clock.super, &self->random.super);
    }
}

void
policy_fleet_finish(struct PolicyFleet *self)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        GbCaller_Finish(&self->callers[i].caller);
    }
    for (uint32_t i = 0; i < self->scenario->hosts; i++) {
        GbAgent_Finish(&self->hosts[i].agent);
        g_queue_clear(&self->hosts[i].waiting);
        g_hash_table_destroy(self->hosts[i].works);
    }
    GbBalancer_Finish(&self->balancer);
    event_queue_finish(&self->events);
    GbDocument_Unref(self->document);
}

void
policy_fleet_call(struct PolicyFleet *self, uint32_t caller,
                  struct GbCallerFlow *flow, int64_t service_us,
                  bool is_longer, void *context)
{
    struct CallerHost *host = &self->callers[caller];
    struct GbBytes body = {(const uint8_t *)&service_us, sizeof(service_us)};

    GbCaller_OpenFlow(&host->caller, flow);
    GbCaller_StartCall(&host->caller, flow,
                       &self->document->services[0].operations[is_longer],
                       body, context);
    policy_fleet_arm_caller(host);
}

void
policy_fleet_report(struct PolicyFleet *self)
{
    for (uint32_t i = 0; i < self->scenario->hosts; i++) {
        struct Host *host = &self->hosts[i];

        host->reported = GbAgent_Load(&host->agent);
        if (self->scenario->trouble == TROUBLE_REPORTS && i < 2) {
            uint32_t slots = i == 0 ? LARGE : 1;

            host->reported.capacity = slots;
            GbAgent_SetTargetSlots(&host->agent, slots);
        }
    }
}

void
policy_fleet_arm(struct Host *host)
{
    int64_t next_us = GbAgent_NextTimerUs(&host->agent);

    if (next_us < host->wake_us) {
        struct Wake *wake = g_new0(struct Wake, 1);

        wake->super.run = wake_host;
        wake->host = host;
        host->wake_us = MAX(next_us, host->fleet->clock.monotonic_us);
        event_queue_push(&host->fleet->events, &wake->super, host->wake_us);
    }
}

void
policy_fleet_reset_load(struct PolicyFleet *self)
{
    for (uint32_t i = 0; i < self->scenario->hosts; i++) {
        self->hosts[i].busy_us = 0;
        self->hosts[i].started = 0;
    }
}
