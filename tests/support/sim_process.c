#include "support/sim_process.h"

#include <string.h>

#include "support/simulation.h"

#define POLL_US INT64_C(200000)
#define DRAIN_CHECK_US INT64_C(50000)
/* Time without datagrams after which a balancer that is stopped exits. */
#define QUIET_US INT64_C(500000)
/* Time until the fabric sends to a balancer no more after it said that it is
 * not ready. */
#define UNREADY_US INT64_C(100000)
#define PEERS_ASKED 3
#define INBOX_MAX 4096
#define CLOCK_OFFSET_MAX 1000000000

enum ItemKind {
    ITEM_RECEIVE,
    ITEM_ANSWERED,
    ITEM_SENT,
    ITEM_ENDED,
    ITEM_SEND,
    ITEM_START,
    ITEM_CANCEL,
    ITEM_ALLOW
};

/* Input or output of a process, kept while it is paused. */
struct Item {
    enum ItemKind kind;
    struct GbAddress address;
    uint64_t work_id;
    uint32_t number;
    struct GbTargetCall call;
    uint32_t size_bytes;
    uint8_t data[];
};

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbSimProcess *)((char *)(pointer)-offsetof(struct GbSimProcess,  \
                                                        member)))

static const struct GbBytes no_bytes = {NULL, 0};

static struct Item *
new_item(enum ItemKind kind, struct GbBytes bytes)
{
    struct Item *item = g_malloc0(sizeof(struct Item) + bytes.size_bytes);

    item->kind = kind;
    item->size_bytes = bytes.size_bytes;
    if (bytes.size_bytes > 0) {
        memcpy(item->data, bytes.data, bytes.size_bytes);
    }
    return item;
}

static void
set_clock(struct GbSimProcess *self)
{
    int64_t now_us = self->simulation->now_us;

    self->clock.monotonic_us = now_us + self->clock_offset_us;
    self->clock.wall_us = now_us + self->wall_offset_us;
}

static void
finish_core(struct GbSimProcess *self)
{
    struct GbSimCaller *caller = &self->caller;

    if (!self->has_core) {
        return;
    }
    self->has_core = false;
    switch (self->role) {
    case GB_SIM_BALANCER:
        GbBalancer_Finish(&self->balancer.core);
        break;
    case GB_SIM_AGENT:
        GbAgent_Finish(&self->agent.core);
        break;
    case GB_SIM_CALLER:
        GbCaller_Finish(&caller->core);
        g_hash_table_destroy(caller->sessions);
        break;
    }
}

static void process_item(struct GbSimProcess *self, struct Item *item);

static bool
is_runnable(const struct GbSimProcess *self)
{
    return self->state == GB_SIM_RUNNING && self->has_core;
}

static void
enter(struct GbSimProcess *self)
{
    set_clock(self);
    self->depth++;
}

static void
leave(struct GbSimProcess *self)
{
    struct Item *item;

    self->depth--;
    if (self->depth > 0) {
        return;
    }
    if (self->state == GB_SIM_STOPPED) {
        finish_core(self);
        return;
    }
    while (self->depth == 0 && is_runnable(self) &&
           (item = g_queue_pop_head(&self->inbox)) != NULL) {
        process_item(self, item);
        g_free(item);
    }
}

/* Takes an input now, or when the process can. Takes over item. */
static void
post(struct GbSimProcess *self, struct Item *item)
{
    if (self->state == GB_SIM_STOPPED || !self->has_core ||
        self->inbox.length >= INBOX_MAX) {
        g_free(item);
    }
    else if (self->depth > 0 || !is_runnable(self)) {
        g_queue_push_tail(&self->inbox, item);
    }
    else {
        process_item(self, item);
        g_free(item);
    }
}

/* Does an output. */
static void
put_out(struct GbSimProcess *self, struct Item *item)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbBytes bytes = {item->data, item->size_bytes};

    switch (item->kind) {
    case ITEM_SEND:
        GbSimNetwork_Send(&simulation->network, &self->node, &item->address,
                          no_bytes, bytes);
        break;
    case ITEM_START:
        item->call.body = bytes;
        GbSimTarget_Start(&self->agent.target, &item->call);
        break;
    case ITEM_CANCEL:
        GbSimTarget_Cancel(&self->agent.target, item->work_id);
        break;
    case ITEM_ALLOW:
        GbSimTarget_Allow(&self->agent.target, item->work_id, item->number);
        break;
    default:
        break;
    }
}

/* A process that was killed or paused at the step before does not do the
 * output, or does it when it wakes. */
static void
output(struct GbSimProcess *self, struct Item *item, enum GbSimStep before,
       enum GbSimStep after)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbBytes bytes = {item->data, item->size_bytes};

    if (self->state == GB_SIM_RUNNING && before != GB_SIM_STEP_END) {
        GbSimulation_Step(simulation, before, self, bytes);
    }
    if (self->state == GB_SIM_PAUSED) {
        g_queue_push_tail(&self->outbox, item);
        return;
    }
    if (self->state == GB_SIM_RUNNING) {
        put_out(self, item);
        if (after != GB_SIM_STEP_END) {
            GbSimulation_Step(simulation, after, self, bytes);
        }
    }
    g_free(item);
}

static void
process_item(struct GbSimProcess *self, struct Item *item)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbBytes bytes = {item->data, item->size_bytes};
    bool is_datagram = item->kind == ITEM_RECEIVE;

    enter(self);
    GbSimulation_Step(
        simulation, is_datagram ? GB_SIM_BEFORE_RECEIVE : GB_SIM_BEFORE_TARGET,
        self, bytes);
    if (self->state == GB_SIM_PAUSED) {
        g_queue_push_head(&self->inbox,
                          g_memdup2(item, sizeof(*item) + item->size_bytes));
    }
    if (self->state != GB_SIM_RUNNING) {
        leave(self);
        return;
    }
    switch (item->kind) {
    case ITEM_RECEIVE:
        if (self->role == GB_SIM_BALANCER) {
            self->balancer.last_datagram_us = simulation->now_us;
            GbBalancerWire_Receive(&self->balancer.wire, &item->address,
                                   item->data, item->size_bytes);
        }
        else if (self->role == GB_SIM_AGENT) {
            GbAgentWire_Receive(&self->agent.wire, &item->address, item->data,
                                item->size_bytes);
        }
        else {
            GbCallerWire_Receive(&self->caller.wire, item->data,
                                 item->size_bytes);
        }
        break;
    case ITEM_ANSWERED:
        GbAgent_TargetAnswered(&self->agent.core, item->work_id,
                               (uint16_t)item->number);
        break;
    case ITEM_SENT:
        GbAgent_TargetSent(&self->agent.core, item->work_id, bytes);
        break;
    case ITEM_ENDED:
        GbAgent_TargetEnded(&self->agent.core, item->work_id,
                            (enum GbTargetEnd)item->number);
        break;
    default:
        break;
    }
    if (self->state == GB_SIM_RUNNING) {
        GbSimulation_Step(simulation,
                          is_datagram ? GB_SIM_AFTER_RECEIVE
                                      : GB_SIM_AFTER_TARGET,
                          self, bytes);
    }
    leave(self);
}

static void
node_receive(struct GbSimNode *node, const struct GbAddress *from,
             struct GbBytes datagram)
{
    struct Item *item = new_item(ITEM_RECEIVE, datagram);

    item->address = *from;
    post((struct GbSimProcess *)node, item);
}

static const struct GbSimNodeClass node_class = {
    .receive = node_receive,
};

static void
port_send(struct GbDatagramPort *port, const struct GbAddress *to,
          struct GbBytes header, struct GbBytes body)
{
    struct GbSimProcess *self = OF_MEMBER(port, datagrams);
    uint8_t buffer[GB_ENVELOPE_BYTES];
    struct GbBytes datagram = {buffer, header.size_bytes + body.size_bytes};
    struct Item *item;

    g_assert_cmpuint(datagram.size_bytes, <=, sizeof(buffer));
    if (header.size_bytes > 0) {
        memcpy(buffer, header.data, header.size_bytes);
    }
    memcpy(buffer + header.size_bytes, body.data, body.size_bytes);
    item = new_item(ITEM_SEND, datagram);
    item->address = *to;
    output(self, item, GB_SIM_BEFORE_SEND, GB_SIM_AFTER_SEND);
}

static const struct GbDatagramPortClass port_class = {
    .send = port_send,
};

/* Pulls a higher document from the peer that announced it. */
static void
heard_revision(struct GbRevisionListener *listener,
               const struct GbAddress *from, const struct GbRevision *revision)
{
    struct GbSimProcess *self = OF_MEMBER(listener, revisions);
    struct GbSimulation *simulation = self->simulation;
    struct GbSimProcess *peer =
        (struct GbSimProcess *)GbSimNetwork_Find(&simulation->network, from);
    struct GbRevision own =
        GbDocument_Revision(GbSimFeed_Accepted(&self->feed));

    if (GbRevision_Compare(revision, &own) > 0 && peer != NULL &&
        peer->state == GB_SIM_RUNNING &&
        !GbSimNetwork_IsCut(&simulation->network, self->node.name,
                            peer->node.name)) {
        GbSimFeed_Offer(&self->feed, GbSimFeed_Accepted(&peer->feed),
                        GB_SOURCE_PEER);
        self->poll_us = simulation->now_us;
    }
}

static const struct GbRevisionListenerClass revisions_class = {
    .heard = heard_revision,
};

static void
port_start(struct GbTargetPort *port, const struct GbTargetCall *call)
{
    struct GbSimProcess *self = OF_MEMBER(port, agent.target_port);
    struct Item *item = new_item(ITEM_START, call->body);

    item->call = *call;
    output(self, item, GB_SIM_BEFORE_START, GB_SIM_AFTER_START);
}

static void
port_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    struct GbSimProcess *self = OF_MEMBER(port, agent.target_port);
    struct Item *item = new_item(ITEM_CANCEL, no_bytes);

    item->work_id = work_id;
    output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static void
port_allow(struct GbTargetPort *port, uint64_t work_id, uint32_t size_bytes)
{
    struct GbSimProcess *self = OF_MEMBER(port, agent.target_port);
    struct Item *item = new_item(ITEM_ALLOW, no_bytes);

    item->work_id = work_id;
    item->number = size_bytes;
    output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static const struct GbTargetPortClass target_port_class = {
    .start = port_start,
    .cancel = port_cancel,
    .allow = port_allow,
};

static void
post_target_item(struct GbSimTargetEvents *events, enum ItemKind kind,
                 uint64_t work_id, uint32_t number, struct GbBytes bytes)
{
    struct Item *item = new_item(kind, bytes);

    item->work_id = work_id;
    item->number = number;
    post(OF_MEMBER(events, agent.target_events), item);
}

static void
target_answered(struct GbSimTargetEvents *events, uint64_t work_id,
                uint16_t target_status)
{
    post_target_item(events, ITEM_ANSWERED, work_id, target_status, no_bytes);
}

static void
target_sent(struct GbSimTargetEvents *events, uint64_t work_id,
            struct GbBytes bytes)
{
    post_target_item(events, ITEM_SENT, work_id, 0, bytes);
}

static void
target_ended(struct GbSimTargetEvents *events, uint64_t work_id,
             enum GbTargetEnd end)
{
    post_target_item(events, ITEM_ENDED, work_id, end, no_bytes);
}

static void
target_ran(struct GbSimTargetEvents *events, const struct GbSimRun *run)
{
    struct GbSimProcess *self = OF_MEMBER(events, agent.target_events);

    GbSimulation_Ran(self->simulation, self, run);
}

static const struct GbSimTargetEventsClass target_events_class = {
    .answered = target_answered,
    .sent = target_sent,
    .ended = target_ended,
    .ran = target_ran,
};

static void
deliver(struct GbResultPort *port, void *context,
        const struct GbResult *result)
{
    struct GbSimProcess *self = OF_MEMBER(port, caller.results);

    if (self->state == GB_SIM_RUNNING) {
        GbSimulation_Step(self->simulation, GB_SIM_DELIVER, self, no_bytes);
    }
    if (self->state != GB_SIM_STOPPED) {
        GbSimulation_Delivered(self->simulation, context, result);
    }
}

static const struct GbResultPortClass results_class = {
    .deliver = deliver,
};

/* The one place that gives documents and instance lists to decisions. */
static void
poll_feed(struct GbSimProcess *self)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbDocument *before = GbSimFeed_InForce(&self->feed);
    struct GbView *view;

    if (before != NULL) {
        GbDocument_Ref(before);
    }
    view = GbSimFeed_Poll(&self->feed, &simulation->platform);
    if (view != NULL && GbDocument_Compare(view->document, before) < 0) {
        GbSimulation_Violate(simulation, "%s went back to revision %u",
                             self->node.name,
                             (unsigned)view->document->revision);
    }
    if (view != NULL && GbDocument_Compare(view->document, before) != 0) {
        GbSimulation_Trace(simulation, "%s in force revision=%u variant=%u",
                           self->node.name, (unsigned)view->document->revision,
                           view->document->digest[3]);
    }
    GbDocument_Unref(before);
    if (view == NULL) {
        return;
    }
    if (self->role == GB_SIM_BALANCER) {
        GbBalancer_SetView(&self->balancer.core, view);
    }
    else {
        const struct GbInstance *own = GbInstanceList_Find(
            view->list, GbInstance_IdOfName(self->node.name));

        if (own != NULL && own->is_leaving) {
            self->agent.drain_us =
                MIN(self->agent.drain_us, simulation->now_us);
            GbAgent_Drain(&self->agent.core);
        }
        GbAgent_SetView(&self->agent.core, view);
    }
}

/* A process that starts asks some peers before the platform. */
static void
ask_peers(struct GbSimProcess *self)
{
    struct GbSimulation *simulation = self->simulation;
    uint32_t asked = 0;

    for (guint i = 0; i < simulation->processes->len && asked < PEERS_ASKED;
         i++) {
        struct GbSimProcess *peer = simulation->processes->pdata[i];

        if (peer != self && peer->role != GB_SIM_CALLER &&
            peer->state == GB_SIM_RUNNING &&
            !GbSimNetwork_IsCut(&simulation->network, self->node.name,
                                peer->node.name) &&
            !GbSimNetwork_IsCut(&simulation->network, peer->node.name,
                                self->node.name)) {
            GbSimFeed_Offer(&self->feed, GbSimFeed_Accepted(&peer->feed),
                            GB_SOURCE_PEER);
            asked++;
        }
    }
}

static void
start_balancer(struct GbSimProcess *self)
{
    struct GbSimBalancer *balancer = &self->balancer;

    balancer->stop_us = GB_SIM_NEVER;
    balancer->last_datagram_us = self->simulation->now_us;
    GbBalancer_Init(&balancer->core, &self->clock.super, &self->counters);
    GbBalancerWire_Init(&balancer->wire, &balancer->core,
                        &self->simulation->keys, &self->datagrams,
                        &self->revisions, &self->counters);
}

static void
start_agent(struct GbSimProcess *self)
{
    struct GbSimAgent *agent = &self->agent;
    struct GbAgentConfig config = {0};

    config.instance_id = GbInstance_IdOfName(self->node.name);
    config.incarnation = GbRandom_Next(&self->random.super);
    g_strlcpy(config.service, agent->service, sizeof(config.service));
    config.address = self->node.address;
    agent->drain_us = GB_SIM_NEVER;
    GbAgentWire_Init(&agent->wire, &agent->core, &self->simulation->keys,
                     &self->datagrams, &agent->target_port, &self->revisions,
                     &self->counters);
    GbAgent_Init(&agent->core, &config, &agent->wire.super, &self->clock.super,
                 &self->random.super, &self->counters);
}

static void
add_balancers(struct GbSimProcess *self)
{
    struct GbSimulation *simulation = self->simulation;

    self->caller.wire.balancer_count = 0;
    for (guint i = 0; i < simulation->processes->len; i++) {
        const struct GbSimProcess *other = simulation->processes->pdata[i];

        if (other->role == GB_SIM_BALANCER && other->state != GB_SIM_STOPPED &&
            (other->balancer.stop_us == GB_SIM_NEVER ||
             simulation->now_us < other->balancer.stop_us + UNREADY_US)) {
            GbCallerWire_AddBalancer(&self->caller.wire, &other->node.address);
        }
    }
}

static void
start_caller(struct GbSimProcess *self)
{
    struct GbSimCaller *caller = &self->caller;

    caller->sessions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GbCallerWire_Init(&caller->wire, &caller->core, &self->datagrams,
                      &caller->results, &self->random.super);
    GbCaller_Init(&caller->core, &caller->service, &caller->wire.super,
                  &self->clock.super, &self->random.super);
}

static void
clear(GQueue *queue)
{
    g_queue_clear_full(queue, g_free);
}

struct GbSimProcess *
GbSimProcess_New(struct GbSimulation *simulation, enum GbSimRole role,
                 const char *name, const struct GbAddress *address,
                 const char *service)
{
    struct GbSimProcess *self = g_new0(struct GbSimProcess, 1);
    const struct GbService *found;

    self->node.klass = &node_class;
    g_strlcpy(self->node.name, name, sizeof(self->node.name));
    self->node.address = *address;
    self->simulation = simulation;
    self->role = role;
    self->clock_offset_us =
        GbRandom_Below(&simulation->random.super, CLOCK_OFFSET_MAX);
    GbManualClock_Init(&self->clock, 0, 0);
    GbSeededRandom_Init(&self->random,
                        GbRandom_Next(&simulation->random.super));
    self->datagrams.klass = &port_class;
    self->revisions.klass = &revisions_class;
    g_queue_init(&self->inbox);
    g_queue_init(&self->outbox);
    if (role == GB_SIM_AGENT) {
        struct GbSimTarget *target = &self->agent.target;

        self->agent.target_port.klass = &target_port_class;
        self->agent.target_events.klass = &target_events_class;
        g_strlcpy(self->agent.service, service, sizeof(self->agent.service));
        GbSimTarget_Init(target, &simulation->events,
                         &self->agent.target_events, &simulation->now_us,
                         &simulation->last_answer_seed);
        g_strlcpy(target->instance, name, sizeof(target->instance));
        g_strlcpy(target->service, service, sizeof(target->service));
    }
    else if (role == GB_SIM_CALLER) {
        self->caller.results.klass = &results_class;
        found =
            GbDocument_ServiceByName(simulation->platform.document, service);
        g_assert_nonnull(found);
        self->caller.service = *found;
        self->caller.service.operations =
            g_memdup2(found->operations,
                      found->operation_count * sizeof(*found->operations));
    }
    return self;
}

void
GbSimProcess_Free(struct GbSimProcess *self)
{
    GbSimProcess_Kill(self);
    GbSimFeed_Finish(&self->feed);
    if (self->role == GB_SIM_AGENT) {
        GbSimTarget_Finish(&self->agent.target);
    }
    else if (self->role == GB_SIM_CALLER) {
        g_free(self->caller.service.operations);
    }
    g_free(self);
}

void
GbSimProcess_Start(struct GbSimProcess *self)
{
    if (self->state != GB_SIM_STOPPED || self->has_core) {
        return;
    }
    GbSimulation_Trace(self->simulation, "start %s", self->node.name);
    self->state = GB_SIM_RUNNING;
    self->has_core = true;
    GbCounters_Init(&self->counters);
    set_clock(self);
    GbSimFeed_Open(&self->feed, &self->clock.super, &self->counters);
    switch (self->role) {
    case GB_SIM_BALANCER:
        start_balancer(self);
        break;
    case GB_SIM_AGENT:
        start_agent(self);
        break;
    case GB_SIM_CALLER:
        start_caller(self);
        self->poll_us = GB_SIM_NEVER;
        return;
    }
    ask_peers(self);
    self->poll_us = self->simulation->now_us;
}

void
GbSimProcess_Kill(struct GbSimProcess *self)
{
    struct GbSimulation *simulation = self->simulation;

    if (self->state == GB_SIM_STOPPED) {
        return;
    }
    GbSimulation_Trace(simulation, "kill %s", self->node.name);
    self->state = GB_SIM_STOPPED;
    clear(&self->inbox);
    clear(&self->outbox);
    GbSimFeed_Close(&self->feed);
    if (self->role == GB_SIM_AGENT) {
        GbSimTarget_DropAll(&self->agent.target, false);
    }
    for (guint i = 0; i < simulation->calls->len; i++) {
        struct GbSimCall *call = simulation->calls->pdata[i];

        if (call->caller == self && call->deliveries == 0) {
            call->is_abandoned = true;
        }
    }
    if (self->depth == 0) {
        finish_core(self);
    }
}

void
GbSimProcess_Pause(struct GbSimProcess *self)
{
    if (self->state == GB_SIM_RUNNING) {
        GbSimulation_Trace(self->simulation, "pause %s", self->node.name);
        self->state = GB_SIM_PAUSED;
    }
}

void
GbSimProcess_Resume(struct GbSimProcess *self)
{
    struct Item *item;

    if (self->state != GB_SIM_PAUSED) {
        return;
    }
    GbSimulation_Trace(self->simulation, "resume %s", self->node.name);
    self->state = GB_SIM_RUNNING;
    while (self->state == GB_SIM_RUNNING &&
           (item = g_queue_pop_head(&self->outbox)) != NULL) {
        put_out(self, item);
        g_free(item);
    }
    /* An event loop may run timers or sockets first. */
    if (GbRandom_Below(&self->simulation->random.super, 2) == 0) {
        GbSimProcess_Tick(self);
    }
    enter(self);
    leave(self);
}

void
GbSimProcess_Stop(struct GbSimProcess *self)
{
    struct GbSimulation *simulation = self->simulation;

    if (self->state == GB_SIM_STOPPED) {
        return;
    }
    GbSimulation_Trace(simulation, "stop %s", self->node.name);
    if (self->role == GB_SIM_BALANCER) {
        self->balancer.stop_us =
            MIN(self->balancer.stop_us, simulation->now_us);
    }
    else if (self->role == GB_SIM_AGENT) {
        self->agent.drain_us = MIN(self->agent.drain_us, simulation->now_us);
        set_clock(self);
        GbAgent_Drain(&self->agent.core);
    }
    else {
        GbSimProcess_Kill(self);
    }
}

int64_t
GbSimProcess_NextUs(struct GbSimProcess *self)
{
    int64_t next_us = GB_TIMER_NEVER;

    if (!is_runnable(self)) {
        return GB_SIM_NEVER;
    }
    switch (self->role) {
    case GB_SIM_BALANCER:
        if (self->balancer.stop_us != GB_SIM_NEVER) {
            return MIN(self->poll_us, MAX(self->balancer.stop_us + UNREADY_US,
                                          self->balancer.last_datagram_us) +
                                          QUIET_US);
        }
        return self->poll_us;
    case GB_SIM_AGENT:
        next_us = GbAgent_NextTimerUs(&self->agent.core);
        break;
    case GB_SIM_CALLER:
        next_us = GbCaller_NextTimerUs(&self->caller.core);
        break;
    }
    if (next_us != GB_TIMER_NEVER) {
        next_us -= self->clock_offset_us;
    }
    return MIN(next_us, self->poll_us);
}

void
GbSimProcess_Tick(struct GbSimProcess *self)
{
    int64_t now_us = self->simulation->now_us;

    if (!is_runnable(self)) {
        return;
    }
    enter(self);
    if (now_us >= self->poll_us) {
        self->poll_us = now_us + POLL_US;
        poll_feed(self);
    }
    switch (self->role) {
    case GB_SIM_BALANCER:
        if (self->balancer.stop_us != GB_SIM_NEVER &&
            now_us >= MAX(self->balancer.stop_us + UNREADY_US,
                          self->balancer.last_datagram_us) +
                          QUIET_US) {
            GbSimProcess_Kill(self);
        }
        break;
    case GB_SIM_AGENT:
        GbAgent_Tick(&self->agent.core);
        if (self->agent.drain_us != GB_SIM_NEVER) {
            self->poll_us = MIN(self->poll_us, now_us + DRAIN_CHECK_US);
            if (self->state == GB_SIM_RUNNING &&
                GbAgent_IsDrained(&self->agent.core)) {
                GbSimulation_Unlist(self->simulation, self->node.name);
                GbSimProcess_Kill(self);
            }
        }
        break;
    case GB_SIM_CALLER:
        add_balancers(self);
        GbCaller_Tick(&self->caller.core);
        break;
    }
    leave(self);
}

bool
GbSimProcess_Call(struct GbSimProcess *self, const char *session,
                  const char *operation, const char *body, void *context)
{
    struct GbSimCaller *caller = &self->caller;
    struct GbBytes bytes = {(const uint8_t *)body, (uint32_t)strlen(body)};
    struct GbCallerFlow *flow;
    bool is_started;

    if (!is_runnable(self)) {
        return false;
    }
    enter(self);
    add_balancers(self);
    flow = g_hash_table_lookup(caller->sessions, session);
    if (flow == NULL) {
        flow = g_new0(struct GbCallerFlow, 1);
        GbCaller_OpenFlow(&caller->core, flow);
        g_hash_table_insert(caller->sessions, g_strdup(session), flow);
    }
    is_started =
        GbCaller_Call(&caller->core, flow,
                      GbService_OperationByName(&caller->service, operation),
                      bytes, context);
    leave(self);
    return is_started;
}
