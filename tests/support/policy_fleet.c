#include "support/policy_fleet.h"

#include <string.h>

#include "support/policy_network.h"
#include "support/policy_target.h"

#define LARGE_LIMIT 1000000
#define QUEUE_LIMIT 10000
#define DEADLINE_MS 5000
#define LONG_DEADLINE_MS 60000
#define OPERATION_COUNT 2
#define LONG_AFTER_MS 100
#define NEVER_LONG_MS 600000
#define COLD_RAMP_MS 4000

struct TimerEvent {
    struct Event super;
    struct PolicyInstance *instance;
    struct PolicyCaller *caller;
};

static void
run_agent_timer(struct Event *event, void *context)
{
    struct PolicyInstance *instance = ((struct TimerEvent *)event)->instance;

    (void)context;
    if (instance->timer_us == event->at_us) {
        instance->timer_us = GB_TIMER_NEVER;
        GbAgent_Tick(&instance->agent);
        policy_fleet_arm_agent_timer(instance);
    }
}

static void
run_caller_timer(struct Event *event, void *context)
{
    struct PolicyCaller *caller = ((struct TimerEvent *)event)->caller;

    (void)context;
    if (caller->timer_us == event->at_us) {
        caller->timer_us = GB_TIMER_NEVER;
        GbCaller_Tick(&caller->caller);
    }
}

static const struct GbAgentPortClass instance_port_class = {
    .send_reply = policy_instance_reply,
    .send_to_member = policy_instance_send_to_member,
    .start_target_request = policy_target_start,
    .cancel_target_request = policy_target_cancel,
    .extend_window = policy_target_extend_window,
};

/* Operation 1 is that of most requests, operation 2 that of the 1 in 100 that
 * take 50 times as long. */
static struct GbDocument *
new_document(const struct PolicyScenario *scenario, enum Policy policy)
{
    struct GbDocument *document = GbDocument_New();
    struct GbService *service = g_new0(struct GbService, 1);
    struct GbOperation *operations =
        g_new0(struct GbOperation, OPERATION_COUNT);
    bool is_long_only = scenario->demand == DEMAND_LONG_ONLY;

    for (uint16_t i = 0; i < OPERATION_COUNT; i++) {
        operations[i].id = i + 1;
        operations[i].is_idempotent = !scenario->is_non_idempotent;
        operations[i].work_class =
            is_long_only ? GB_CLASS_LONG : GB_CLASS_SHORT;
        operations[i].deadline_ms =
            is_long_only ? LONG_DEADLINE_MS : DEADLINE_MS;
        operations[i].max_answer_bytes = LARGE_LIMIT;
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
    service->operation_count = OPERATION_COUNT;
    service->limits.flows = LARGE_LIMIT;
    service->limits.queue = QUEUE_LIMIT;
    service->limits.rate_per_s = LARGE_LIMIT;
    service->limits.retry_budget_percent = 10;
    service->ramp_ms = scenario->fault == FAULT_COLD_TARGET ? COLD_RAMP_MS : 0;
    service->long_after_ms =
        policy == POLICY_TWO_CHOICES_UNCAPPED ? NEVER_LONG_MS : LONG_AFTER_MS;
    return document;
}

/* View of the instances in [first, first + count). */
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
init_instance(struct PolicyFleet *fleet, uint32_t index)
{
    struct PolicyInstance *self = &fleet->instances[index];
    struct GbAgentConfig config = {.incarnation = 1, .service = "work"};
    char name[GB_NAME_BYTES];
    bool has_members = fleet->policy == POLICY_HANDOVER;

    g_snprintf(name, sizeof(name), "host-%u", index);
    config.instance_id = GbInstance_IdOfName(name);
    config.address.ipv4 = AGENTS_NETWORK + index;
    self->port.klass = &instance_port_class;
    self->fleet = fleet;
    self->index = index;
    self->timer_us = GB_TIMER_NEVER;
    self->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&self->queue);
    GbCounters_Init(&self->counters);
    GbAgent_Init(&self->agent, &config, &self->port, &fleet->clock.super,
                 &fleet->random.super, &self->counters);
    GbAgent_SetView(&self->agent,
                    new_view(fleet->document, has_members ? 0 : index,
                             has_members ? fleet->scenario->instances : 1));
    policy_fleet_arm_agent_timer(self);
}

void
policy_fleet_post(struct PolicyFleet *self, struct Event *event,
                  int64_t after_us)
{
    event_queue_push(&self->events, event,
                     self->clock.monotonic_us + after_us);
}

void
policy_fleet_arm_caller_timer(struct PolicyCaller *caller)
{
    int64_t next_us = GbCaller_NextTimerUs(&caller->caller);

    if (next_us < caller->timer_us) {
        struct TimerEvent *event = g_new0(struct TimerEvent, 1);

        event->super.run = run_caller_timer;
        event->caller = caller;
        caller->timer_us = MAX(next_us, caller->fleet->clock.monotonic_us);
        event_queue_push(&caller->fleet->events, &event->super,
                         caller->timer_us);
    }
}

void
policy_fleet_init(struct PolicyFleet *self,
                  const struct PolicyScenario *scenario, enum Policy policy,
                  uint64_t seed)
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
                       new_view(self->document, 0, scenario->instances));
    for (uint32_t i = 0; i < scenario->instances; i++) {
        self->service_time_factors[i] = 1;
        init_instance(self, i);
    }
    for (uint32_t i = 0; i < CALLERS; i++) {
        struct PolicyCaller *caller = &self->callers[i];

        caller->port.klass = &policy_caller_port_class;
        caller->fleet = self;
        caller->index = i;
        caller->timer_us = GB_TIMER_NEVER;
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
    for (uint32_t i = 0; i < self->scenario->instances; i++) {
        GbAgent_Finish(&self->instances[i].agent);
        g_queue_clear(&self->instances[i].queue);
        g_hash_table_destroy(self->instances[i].requests);
    }
    GbBalancer_Finish(&self->balancer);
    event_queue_finish(&self->events);
    GbDocument_Unref(self->document);
}

void
policy_fleet_start_call(struct PolicyFleet *self, uint32_t caller_index,
                        struct GbCallerFlow *flow, int64_t service_time_us,
                        bool is_longer, void *context)
{
    struct PolicyCaller *caller = &self->callers[caller_index];
    struct GbBytes body = {(const uint8_t *)&service_time_us,
                           sizeof(service_time_us)};

    GbCaller_OpenFlow(&caller->caller, flow);
    GbCaller_StartCall(&caller->caller, flow,
                       &self->document->services[0].operations[is_longer],
                       body, context);
    policy_fleet_arm_caller_timer(caller);
}

void
policy_fleet_update_reports(struct PolicyFleet *self)
{
    for (uint32_t i = 0; i < self->scenario->instances; i++) {
        struct PolicyInstance *instance = &self->instances[i];

        instance->reported = GbAgent_Load(&instance->agent);
        if (self->scenario->fault == FAULT_WRONG_REPORTS && i < 2) {
            uint32_t slots = i == 0 ? LARGE_LIMIT : 1;

            instance->reported.capacity = slots;
            GbAgent_SetTargetSlots(&instance->agent, slots);
        }
    }
}

void
policy_fleet_arm_agent_timer(struct PolicyInstance *instance)
{
    int64_t next_us = GbAgent_NextTimerUs(&instance->agent);

    if (next_us < instance->timer_us) {
        struct TimerEvent *event = g_new0(struct TimerEvent, 1);

        event->super.run = run_agent_timer;
        event->instance = instance;
        instance->timer_us = MAX(next_us, instance->fleet->clock.monotonic_us);
        event_queue_push(&instance->fleet->events, &event->super,
                         instance->timer_us);
    }
}

void
policy_fleet_reset_statistics(struct PolicyFleet *self)
{
    for (uint32_t i = 0; i < self->scenario->instances; i++) {
        self->instances[i].busy_us = 0;
        self->instances[i].started_count = 0;
    }
}
