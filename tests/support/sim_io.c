#include "support/sim_io.h"

#include <string.h>

#include "support/simulation.h"

#define INBOX_MAX 4096

enum IoItemKind {
    IO_RECEIVED_DATAGRAM,
    IO_TARGET_HEAD,
    IO_TARGET_BYTES,
    IO_TARGET_END,
    IO_SEND_DATAGRAM,
    IO_START_REQUEST,
    IO_CANCEL_REQUEST,
    IO_EXTEND_WINDOW
};

/* Input or output of a process, queued while it is paused or busy. */
struct IoItem {
    enum IoItemKind kind;
    struct GbAddress address;
    uint64_t work_id;
    /* HTTP status, GbTargetOutcome or window size in bytes. */
    uint32_t number;
    struct GbTargetRequest request;
    uint32_t size_bytes;
    uint8_t data[];
};

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbSimProcess *)((char *)(pointer)-offsetof(struct GbSimProcess,  \
                                                        member)))

static const struct GbBytes no_bytes = {NULL, 0};

static struct IoItem *
new_item(enum IoItemKind kind, struct GbBytes bytes)
{
    struct IoItem *item = g_malloc0(sizeof(struct IoItem) + bytes.size_bytes);

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

static void handle_input(struct GbSimProcess *self, struct IoItem *item);

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
    struct IoItem *item;

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
        handle_input(self, item);
        g_free(item);
    }
}

/* Handles an input now, or as soon as the process can. Takes ownership of
 * item. */
static void
post_input(struct GbSimProcess *self, struct IoItem *item)
{
    if (self->state == GB_SIM_STOPPED || !self->has_core ||
        self->inbox.length >= INBOX_MAX) {
        g_free(item);
    }
    else if (self->call_depth > 0 || !GbSimIo_IsRunnable(self)) {
        g_queue_push_tail(&self->inbox, item);
    }
    else {
        handle_input(self, item);
        g_free(item);
    }
}

static void
perform_output(struct GbSimProcess *self, struct IoItem *item)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbBytes bytes = {item->data, item->size_bytes};

    switch (item->kind) {
    case IO_SEND_DATAGRAM:
        GbSimNetwork_Send(&simulation->network, &self->node, &item->address,
                          no_bytes, bytes);
        break;
    case IO_START_REQUEST:
        item->request.body = bytes;
        GbSimTarget_Start(&self->agent.target, &item->request);
        break;
    case IO_CANCEL_REQUEST:
        GbSimTarget_Cancel(&self->agent.target, item->work_id);
        break;
    case IO_EXTEND_WINDOW:
        GbSimTarget_ExtendWindow(&self->agent.target, item->work_id,
                                 item->number);
        break;
    default:
        break;
    }
}

/* Performs an output. If the observer kills the process at the step before it,
 * the output is discarded; if the observer pauses the process, the output is
 * deferred until it resumes. Takes ownership of item. */
static void
perform_or_defer_output(struct GbSimProcess *self, struct IoItem *item,
                        enum GbSimStep before, enum GbSimStep after)
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
        perform_output(self, item);
        if (after != GB_SIM_STEP_END) {
            GbSimulation_NotifyObserver(simulation, after, self, bytes);
        }
    }
    g_free(item);
}

static void
handle_input(struct GbSimProcess *self, struct IoItem *item)
{
    struct GbSimulation *simulation = self->simulation;
    struct GbBytes bytes = {item->data, item->size_bytes};
    bool is_datagram = item->kind == IO_RECEIVED_DATAGRAM;

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
    case IO_RECEIVED_DATAGRAM:
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
    case IO_TARGET_HEAD:
        GbAgent_HandleTargetHead(&self->agent.core, item->work_id,
                                 (uint16_t)item->number);
        break;
    case IO_TARGET_BYTES:
        GbAgent_HandleTargetBytes(&self->agent.core, item->work_id, bytes);
        break;
    case IO_TARGET_END:
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
    struct IoItem *item = new_item(IO_RECEIVED_DATAGRAM, datagram);

    item->address = *from;
    post_input((struct GbSimProcess *)node, item);
}

static const struct GbSimNodeClass node_class = {
    .receive = node_receive,
};

static void
datagram_port_send(struct GbDatagramPort *port, const struct GbAddress *to,
                   struct GbBytes header, struct GbBytes body)
{
    struct GbSimProcess *self = CONTAINER_OF(port, datagram_port);
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];
    struct GbBytes datagram = {buffer, header.size_bytes + body.size_bytes};
    struct IoItem *item;

    g_assert_cmpuint(datagram.size_bytes, <=, sizeof(buffer));
    if (header.size_bytes > 0) {
        memcpy(buffer, header.data, header.size_bytes);
    }
    memcpy(buffer + header.size_bytes, body.data, body.size_bytes);
    item = new_item(IO_SEND_DATAGRAM, datagram);
    item->address = *to;
    perform_or_defer_output(self, item, GB_SIM_BEFORE_SEND, GB_SIM_AFTER_SEND);
}

static const struct GbDatagramPortClass datagram_port_class = {
    .send = datagram_port_send,
};

static void
target_port_start(struct GbTargetPort *port,
                  const struct GbTargetRequest *request)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct IoItem *item = new_item(IO_START_REQUEST, request->body);

    item->request = *request;
    perform_or_defer_output(self, item, GB_SIM_BEFORE_START,
                            GB_SIM_AFTER_START);
}

static void
target_port_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct IoItem *item = new_item(IO_CANCEL_REQUEST, no_bytes);

    item->work_id = work_id;
    perform_or_defer_output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static void
target_port_extend_window(struct GbTargetPort *port, uint64_t work_id,
                          uint32_t size_bytes)
{
    struct GbSimProcess *self = CONTAINER_OF(port, agent.target_port);
    struct IoItem *item = new_item(IO_EXTEND_WINDOW, no_bytes);

    item->work_id = work_id;
    item->number = size_bytes;
    perform_or_defer_output(self, item, GB_SIM_STEP_END, GB_SIM_STEP_END);
}

static const struct GbTargetPortClass target_port_class = {
    .start = target_port_start,
    .cancel = target_port_cancel,
    .extend_window = target_port_extend_window,
};

static void
post_target_event(struct GbSimTargetListener *listener, enum IoItemKind kind,
                  uint64_t work_id, uint32_t number, struct GbBytes bytes)
{
    struct IoItem *item = new_item(kind, bytes);

    item->work_id = work_id;
    item->number = number;
    post_input(CONTAINER_OF(listener, agent.target_listener), item);
}

static void
target_head_sent(struct GbSimTargetListener *listener, uint64_t work_id,
                 uint16_t target_status)
{
    post_target_event(listener, IO_TARGET_HEAD, work_id, target_status,
                      no_bytes);
}

static void
target_bytes_sent(struct GbSimTargetListener *listener, uint64_t work_id,
                  struct GbBytes bytes)
{
    post_target_event(listener, IO_TARGET_BYTES, work_id, 0, bytes);
}

static void
target_ended(struct GbSimTargetListener *listener, uint64_t work_id,
             enum GbTargetOutcome outcome)
{
    post_target_event(listener, IO_TARGET_END, work_id, outcome, no_bytes);
}

static void
target_run_started(struct GbSimTargetListener *listener,
                   const struct GbSimRun *run)
{
    struct GbSimProcess *self = CONTAINER_OF(listener, agent.target_listener);

    GbSimulation_RecordRun(self->simulation, self, run);
}

static const struct GbSimTargetListenerClass target_listener_class = {
    .head_sent = target_head_sent,
    .bytes_sent = target_bytes_sent,
    .ended = target_ended,
    .run_started = target_run_started,
};

static void
deliver_result(struct GbResultPort *port, void *context,
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

static const struct GbResultPortClass result_port_class = {
    .deliver = deliver_result,
};

void
GbSimIo_Init(struct GbSimProcess *self)
{
    self->node.klass = &node_class;
    self->datagram_port.klass = &datagram_port_class;
    g_queue_init(&self->inbox);
    g_queue_init(&self->outbox);
    if (self->role == GB_SIM_AGENT) {
        self->agent.target_port.klass = &target_port_class;
        self->agent.target_listener.klass = &target_listener_class;
    }
    else if (self->role == GB_SIM_CALLER) {
        self->caller.result_port.klass = &result_port_class;
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
    struct IoItem *item;

    while (self->state == GB_SIM_RUNNING &&
           (item = g_queue_pop_head(&self->outbox)) != NULL) {
        perform_output(self, item);
        g_free(item);
    }
}
