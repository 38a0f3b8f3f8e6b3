#include "support/sim_io.h"

#include <string.h>

#include "support/simulation.h"

#define INBOX_MAX 4096

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
    struct GbTargetRequest call;
    uint32_t size_bytes;
    uint8_t data[];
};

#define CONTAINER_OF(pointer, member)                                         \
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

void
GbSimIo_SetClock(struct GbSimProcess *self)
{
    int64_t now_us = self->simulation->now_us;

    self->clock.monotonic_us = now_us + self->clock_offset_us;
    self->clock.wall_us = now_us + self->wall_offset_us;
}

static void process_item(struct GbSimProcess *self, struct Item *item);

bool
GbSimIo_IsRunnable(const struct GbSimProcess *self)
{
    return self->state == GB_SIM_RUNNING && self->has_core;
}

void
GbSimIo_Enter(struct GbSimProcess *self)
{
    GbSimIo_SetClock(self);
    self->call_depth++;
}

void
GbSimIo_Leave(struct GbSimProcess *self)
{
    struct Item *item;

    self->call_depth--;
    if (self->call_depth > 0) {
        return;
    }
    if (self->state == GB_SIM_STOPPED) {
        GbSimProcess_FinishCore(self);
        return;
    }
    while (self->call_depth == 0 && GbSimIo_IsRunnable(self) &&
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
    else if (self->call_depth > 0 || !GbSimIo_IsRunnable(self)) {
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
        GbSimTarget_ExtendWindow(&self->agent.target, item->work_id,
                                 item->number);
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
        GbSimulation_NotifyObserver(simulation, before, self, bytes);
    }
    if (self->state == GB_SIM_PAUSED) {
        g_queue_push_tail(&self->outbox, item);
        return;
    }
    if (self->state == GB_SIM_RUNNING) {
        put_out(self, item);
        if (after != GB_SIM_STEP_END) {
            GbSimulation_NotifyObserver(simulation, after, self, bytes);
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

    GbSimIo_Enter(self);
    GbSimulation_NotifyObserver(simulation,
                                is_datagram ? GB_SIM_BEFORE_RECEIVE
                                            : GB_SIM_BEFORE_TARGET_EVENT,
                                self, bytes);
    if (self->state == GB_SIM_PAUSED) {
        g_queue_push_head(&self->inbox,
                          g_memdup2(item, sizeof(*item) + item->size_bytes));
    }
    if (self->state != GB_SIM_RUNNING) {
        GbSimIo_Leave(self);
        return;
    }
    switch (item->kind) {
    case ITEM_RECEIVE:
        if (self->role == GB_SIM_BALANCER) {
            self->balancer.last_datagram_us = simulation->now_us;
            GbBalancerEndpoint_Receive(&self->balancer.endpoint,
                                       &item->address, item->data,
                                       item->size_bytes);
        }
        else if (self->role == GB_SIM_AGENT) {
            GbAgentEndpoint_Receive(&self->agent.endpoint, &item->address,
                                    item->data, item->size_bytes);
        }
        else {
            GbCallerEndpoint_Receive(&self->caller.endpoint, item->data,
                                     item->size_bytes);
        }
        break;
    case ITEM_ANSWERED:
        GbAgent_HandleTargetHead(&self->agent.core, item->work_id,
                                 (uint16_t)item->number);
        break;
    case ITEM_SENT:
        GbAgent_HandleTargetBytes(&self->agent.core, item->work_id, bytes);
        break;
    case ITEM_ENDED:
        GbAgent_HandleTargetEnd(&self->agent.core, item->work_id,
                                (enum GbTargetOutcome)item->number);
        break;
    default:
        break;
    }
    if (self->state == GB_SIM_RUNNING) {
        GbSimulation_NotifyObserver(simulation,
                                    is_datagram ? GB_SIM_AFTER_RECEIVE
                                                : GB_SIM_AFTER_TARGET_EVENT,
                                    self, bytes);
    }
    GbSimIo_Leave(self);
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
    struct GbSimProcess *self = CONTAINER_OF(port, datagram_port);
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
port_start(struct GbTargetPort *port, const struct GbTargetRequest *call)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct Item *item = new_item(ITEM_START, call->body);

    item->call = *call;
    output(self, item, GB_SIM_BEFORE_START, GB_SIM_AFTER_START);
}

static void
port_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct Item *item = new_item(ITEM_CANCEL, no_bytes);

    item->work_id = work_id;
    output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static void
port_allow(struct GbTargetPort *port, uint64_t work_id, uint32_t size_bytes)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct Item *item = new_item(ITEM_ALLOW, no_bytes);

    item->work_id = work_id;
    item->number = size_bytes;
    output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static const struct GbTargetPortClass target_port_class = {
    .start = port_start,
    .cancel = port_cancel,
    .extend_window = port_allow,
};

static void
post_target_item(struct GbSimTargetListener *listener, enum ItemKind kind,
                 uint64_t work_id, uint32_t number, struct GbBytes bytes)
{
    struct Item *item = new_item(kind, bytes);

    item->work_id = work_id;
    item->number = number;
    post(CONTAINER_OF(listener, agent.target_listener), item);
}

static void
target_answered(struct GbSimTargetListener *listener, uint64_t work_id,
                uint16_t target_status)
{
    post_target_item(listener, ITEM_ANSWERED, work_id, target_status,
                     no_bytes);
}

static void
target_sent(struct GbSimTargetListener *listener, uint64_t work_id,
            struct GbBytes bytes)
{
    post_target_item(listener, ITEM_SENT, work_id, 0, bytes);
}

static void
target_ended(struct GbSimTargetListener *listener, uint64_t work_id,
             enum GbTargetOutcome end)
{
    post_target_item(listener, ITEM_ENDED, work_id, end, no_bytes);
}

static void
target_ran(struct GbSimTargetListener *listener, const struct GbSimRun *run)
{
    struct GbSimProcess *self = CONTAINER_OF(listener, agent.target_listener);

    GbSimulation_RecordRun(self->simulation, self, run);
}

static const struct GbSimTargetListenerClass target_events_class = {
    .head_sent = target_answered,
    .bytes_sent = target_sent,
    .ended = target_ended,
    .run_started = target_ran,
};

static void
deliver(struct GbResultPort *port, void *context,
        const struct GbCallerResult *result)
{
    struct GbSimProcess *self = CONTAINER_OF(port, caller.result_port);

    if (self->state == GB_SIM_RUNNING) {
        GbSimulation_NotifyObserver(self->simulation, GB_SIM_DELIVER, self,
                                    no_bytes);
    }
    if (self->state != GB_SIM_STOPPED) {
        GbSimulation_RecordOutcome(self->simulation, context, result);
    }
}

static const struct GbResultPortClass results_class = {
    .deliver = deliver,
};

/* The one place that gives documents and instance lists to decisions. */

void
GbSimIo_Init(struct GbSimProcess *self)
{
    self->node.klass = &node_class;
    self->datagram_port.klass = &port_class;
    g_queue_init(&self->inbox);
    g_queue_init(&self->outbox);
    if (self->role == GB_SIM_AGENT) {
        self->agent.target_port.klass = &target_port_class;
        self->agent.target_listener.klass = &target_events_class;
    }
    else if (self->role == GB_SIM_CALLER) {
        self->caller.result_port.klass = &results_class;
    }
}

void
GbSimIo_DiscardPending(struct GbSimProcess *self)
{
    g_queue_clear_full(&self->inbox, g_free);
    g_queue_clear_full(&self->outbox, g_free);
}

void
GbSimIo_FlushOutbox(struct GbSimProcess *self)
{
    struct Item *item;

    while (self->state == GB_SIM_RUNNING &&
           (item = g_queue_pop_head(&self->outbox)) != NULL) {
        put_out(self, item);
        g_free(item);
    }
}
