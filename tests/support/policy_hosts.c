#include "support/policy_hosts.h"

#include <string.h>

#define BUFFER_BYTES 64
#define SAME_CENTRE_US 100
#define JITTER_US 100
#define CALLER_DELAY_US 3000
#define AGENTS_NETWORK 0x0a000000
#define LARGE 1000000
#define QUEUE_LIMIT 10000
#define DEADLINE_MS 5000
#define LONG_WORK_DEADLINE_MS 60000
#define OPERATIONS 2
#define LONG_AFTER_MS 100
#define NEVER_LONG_MS 600000
#define COLD_RAMP_MS 4000

/* Datagram on its way. */
struct Datagram {
    struct Event super;
    struct GbMessage message;
    struct GbPath path;
    /* Where it goes: a host, or a caller. NULL: the host that is least loaded
     * on arrival. */
    struct Host *host;
    struct CallerHost *caller;
    uint8_t buffer[BUFFER_BYTES];
};

struct Wake {
    struct Event super;
    struct Host *host;
    struct CallerHost *caller;
};

struct TargetWork {
    uint64_t id;
    int64_t service_us;
    bool is_active;
};

struct TargetEnd {
    struct Event super;
    struct Host *host;
    uint64_t work_id;
    int64_t busy_us;
};

static struct GbBytes *
bytes_of(struct GbMessage *message)
{
    switch (message->kind) {
    case GB_MESSAGE_CALL:
        return &message->call.body;
    case GB_MESSAGE_HANDOVER:
        return &message->handover.call.body;
    case GB_MESSAGE_DATA:
        return &message->data.bytes;
    default:
        return NULL;
    }
}

static struct Datagram *
new_datagram(const struct GbMessage *message)
{
    struct Datagram *self = g_new0(struct Datagram, 1);
    struct GbBytes *bytes;

    self->message = *message;
    bytes = bytes_of(&self->message);
    if (bytes != NULL && bytes->size_bytes > 0) {
        g_assert_cmpuint(bytes->size_bytes, <=, BUFFER_BYTES);
        memcpy(self->buffer, bytes->data, bytes->size_bytes);
    }
    if (bytes != NULL) {
        bytes->data = self->buffer;
    }
    return self;
}

static int64_t
delay_us(struct PolicyFleet *fleet, uint32_t from, uint32_t to)
{
    uint32_t centres = fleet->scenario->data_centres;
    int64_t base_us = from % centres == to % centres
                          ? SAME_CENTRE_US
                          : fleet->scenario->delay_us;

    return base_us + GbRandom_Below(&fleet->random.super, JITTER_US);
}

static void
post(struct PolicyFleet *fleet, struct Event *event, int64_t after_us)
{
    event_queue_post(&fleet->events, event,
                     fleet->clock.monotonic_us + after_us);
}

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

static void
arm_caller(struct CallerHost *caller)
{
    int64_t next_us = GbCaller_NextTimerUs(&caller->caller);

    if (next_us < caller->wake_us) {
        struct Wake *wake = g_new0(struct Wake, 1);

        wake->super.run = wake_caller;
        wake->caller = caller;
        caller->wake_us = MAX(next_us, caller->fleet->clock.monotonic_us);
        event_queue_post(&caller->fleet->events, &wake->super,
                         caller->wake_us);
    }
}

static struct Host *
host_at(struct PolicyFleet *fleet, const struct GbAddress *address)
{
    return &fleet->hosts[address->ipv4 - AGENTS_NETWORK];
}

/* Least loaded host now; a random one of several. */
static struct Host *
least_loaded(struct PolicyFleet *fleet)
{
    struct Host *best = NULL;
    struct GbLoad best_load = {0};
    uint32_t ties = 0;

    for (uint32_t i = 0; i < fleet->scenario->hosts; i++) {
        struct GbLoad load = GbAgent_Load(&fleet->hosts[i].agent);
        int order = best != NULL ? GbLoad_Compare(&load, &best_load) : -1;

        ties = order < 0 ? 1 : ties + (order == 0);
        if (order < 0 ||
            (order == 0 && GbRandom_Below(&fleet->random.super, ties) == 0)) {
            best = &fleet->hosts[i];
            best_load = load;
        }
    }
    return best;
}

static void
arrive_at_host(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;
    struct Host *host = datagram->host;

    if (host == NULL) {
        host = least_loaded(context);
    }
    if (datagram->message.kind >= GB_MESSAGE_ALIVE) {
        struct GbAddress from = datagram->message.token.agent;

        GbAgent_ReceiveMember(&host->agent, &from, &datagram->message);
    }
    else {
        GbAgent_Receive(&host->agent, &datagram->path, &datagram->message);
    }
    policy_fleet_arm(host);
}

static void
arrive_at_caller(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;

    (void)context;
    GbCaller_Receive(&datagram->caller->caller, &datagram->message);
    arm_caller(datagram->caller);
}

/* Host of an unbound CALL; NULL for the one that is least loaded on arrival.
 */
static struct Host *
route_unbound(struct PolicyFleet *fleet, const struct GbMessage *message)
{
    uint32_t count = fleet->scenario->hosts;
    struct Host *a =
        &fleet->hosts[GbRandom_Below(&fleet->random.super, count)];
    struct Host *b;
    struct GbAddress address;

    switch (fleet->policy) {
    case POLICY_RENDEZVOUS:
    case POLICY_HANDOVER:
        g_assert_cmpint(GbBalancer_Route(&fleet->balancer, message, &address),
                        ==, GB_COORDINATION_OK);
        return host_at(fleet, &address);
    case POLICY_TWO_CHOICES:
    case POLICY_TWO_CHOICES_UNCAPPED:
        do {
            b = &fleet->hosts[GbRandom_Below(&fleet->random.super, count)];
        } while (a == b);
        return GbLoad_Compare(&a->reported, &b->reported) <= 0 ? a : b;
    case POLICY_WEIGHTED_RANDOM:
        /* All weights are equal here. */
        return a;
    case POLICY_OMNISCIENT:
    case POLICY_END:
        break;
    }
    return NULL;
}

static void
arrive_at_balancer(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;
    struct PolicyFleet *fleet = context;
    struct Datagram *forwarded;
    uint32_t to;

    if (datagram->caller != NULL) {
        GbBalancer_Heard(&fleet->balancer,
                         datagram->message.token.instance_id);
        forwarded = new_datagram(&datagram->message);
        forwarded->super.run = arrive_at_caller;
        forwarded->caller = datagram->caller;
        post(fleet, &forwarded->super, CALLER_DELAY_US);
        return;
    }
    forwarded = new_datagram(&datagram->message);
    forwarded->super.run = arrive_at_host;
    forwarded->path = datagram->path;
    if (datagram->message.has_token) {
        memcpy(&forwarded->message.token, datagram->message.sealed_token,
               sizeof(struct GbToken));
        forwarded->host = host_at(fleet, &forwarded->message.token.agent);
        to = forwarded->host->index;
    }
    else {
        forwarded->host = route_unbound(fleet, &datagram->message);
        to = forwarded->host != NULL ? forwarded->host->index : 0;
    }
    post(fleet, &forwarded->super,
         delay_us(fleet, datagram->path.balancer.ipv4, to));
}

static void
caller_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct CallerHost *self = (struct CallerHost *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_balancer;
    datagram->path.caller.port = (uint16_t)self->index;
    /* The data centre of a random balancer. */
    datagram->path.balancer.ipv4 = GbRandom_Below(
        &self->fleet->random.super, self->fleet->scenario->data_centres);
    post(self->fleet, &datagram->super, CALLER_DELAY_US);
}

static void
caller_deliver(struct GbCallerPort *port, void *context,
               const struct GbResult *result)
{
    ((struct CallerHost *)port)->fleet->delivered(context, result);
}

static const struct GbCallerPortClass caller_port_class = {
    .send = caller_send,
    .deliver = caller_deliver,
};

static void
host_reply(struct GbAgentPort *port, const struct GbPath *path,
           const struct GbMessage *message)
{
    struct Host *self = (struct Host *)port;
    struct Datagram *datagram = new_datagram(message);

    if (message->kind == GB_MESSAGE_NOT_RUN &&
        message->not_run == GB_NOT_RUN_BIND) {
        self->fleet->tokens_issued++;
    }
    memcpy(datagram->message.sealed_token, &message->token,
           sizeof(struct GbToken));
    /* The envelope names the instance in any case. */
    datagram->message.token.instance_id = self->agent.config.instance_id;
    datagram->super.run = arrive_at_balancer;
    datagram->path = *path;
    datagram->caller = &self->fleet->callers[path->caller.port];
    post(self->fleet, &datagram->super,
         delay_us(self->fleet, self->index, path->balancer.ipv4));
}

static void
host_send_member(struct GbAgentPort *port, const struct GbAddress *to,
                 const struct GbMessage *message)
{
    struct Host *self = (struct Host *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_host;
    datagram->host = host_at(self->fleet, to);
    post(self->fleet, &datagram->super,
         delay_us(self->fleet, self->index, datagram->host->index));
}

static void end_work(struct Event *event, void *context);

static void
run_work(struct Host *self, struct TargetWork *work)
{
    struct TargetEnd *end = g_new0(struct TargetEnd, 1);

    work->is_active = true;
    self->active++;
    self->started++;
    end->super.run = end_work;
    end->host = self;
    end->work_id = work->id;
    end->busy_us = work->service_us * self->fleet->slowness[self->index];
    post(self->fleet, &end->super, end->busy_us);
}

static void
run_waiting(struct Host *self)
{
    while (self->active < self->fleet->scenario->slots &&
           self->waiting.length > 0) {
        run_work(self, g_queue_pop_head(&self->waiting));
    }
}

static void
end_work(struct Event *event, void *context)
{
    static const uint8_t data[] = "answer";
    struct GbBytes bytes = {data, sizeof(data)};
    struct TargetEnd *end = (struct TargetEnd *)event;
    struct Host *self = end->host;

    (void)context;
    if (g_hash_table_lookup(self->works, &end->work_id) == NULL) {
        return;
    }
    g_hash_table_remove(self->works, &end->work_id);
    self->active--;
    self->busy_us += end->busy_us;
    GbAgent_TargetAnswered(&self->agent, end->work_id, 200);
    GbAgent_TargetSent(&self->agent, end->work_id, bytes);
    GbAgent_TargetEnded(&self->agent, end->work_id, GB_TARGET_WHOLE);
    run_waiting(self);
    policy_fleet_arm(self);
}

static void
host_start(struct GbAgentPort *port, const struct GbTargetCall *call)
{
    struct Host *self = (struct Host *)port;
    struct TargetWork *work = g_new0(struct TargetWork, 1);

    work->id = call->work_id;
    memcpy(&work->service_us, call->body.data, sizeof(work->service_us));
    g_hash_table_insert(self->works, &work->id, work);
    g_queue_push_tail(&self->waiting, work);
    run_waiting(self);
}

static void
host_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    struct Host *self = (struct Host *)port;
    struct TargetWork *work = g_hash_table_lookup(self->works, &work_id);

    if (work == NULL) {
        return;
    }
    if (work->is_active) {
        self->active--;
    }
    else {
        g_queue_remove(&self->waiting, work);
    }
    g_hash_table_remove(self->works, &work_id);
    run_waiting(self);
}

static void
host_allow(struct GbAgentPort *port, uint64_t work_id, uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}

static const struct GbAgentPortClass host_port_class = {
    .reply = host_reply,
    .send_member = host_send_member,
    .start = host_start,
    .cancel = host_cancel,
    .allow = host_allow,
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

        caller->port.klass = &caller_port_class;
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
    GbCaller_Call(&host->caller, flow,
                  &self->document->services[0].operations[is_longer], body,
                  context);
    arm_caller(host);
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
            GbAgent_TargetLoad(&host->agent, slots);
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
        event_queue_post(&host->fleet->events, &wake->super, host->wake_us);
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
