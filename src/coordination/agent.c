#include "coordination/agent.h"

#include <string.h>

#include "coordination/admission.h"
#include "coordination/delivery.h"
#include "coordination/reply.h"

/* Far longer than callers use a token. */
#define FLOW_IDLE_US INT64_C(300000000)
/* For the way of the last datagram that a caller sends under a token. */
#define TOKEN_MARGIN_US INT64_C(1000000)

static bool
is_for_this_agent(struct GbAgent *self, const struct GbMessage *message)
{
    if (self->service == NULL || message->service_id != self->service->id) {
        GbCounters_Add(self->counters, GB_COUNTER_WRONG_SERVICE, 1);
        return false;
    }
    if (!message->has_token) {
        if (message->flow_id == 0 || message->kind != GB_MESSAGE_CALL) {
            GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
            return false;
        }
        return true;
    }
    if (message->token.service_id != message->service_id) {
        GbCounters_Add(self->counters, GB_COUNTER_WRONG_SERVICE, 1);
        return false;
    }
    if (message->token.instance_id != self->config.instance_id ||
        message->token.flow_id != message->flow_id || message->flow_id == 0) {
        GbCounters_Add(self->counters, GB_COUNTER_WRONG_INSTANCE, 1);
        return false;
    }
    return true;
}

static void
receive_fetch(struct GbAgent *self, const struct GbPath *path,
              const struct GbMessage *message)
{
    struct GbFlow *flow = GbAdmission_Flow(self, path, message, false);
    struct GbRequest *request;

    if (flow == NULL) {
        return;
    }
    request = GbFlow_Request(flow, message->request_id);
    if (request != NULL) {
        request->path = *path;
        GbDelivery_Fetch(self, request, path, &message->fetch);
    }
    else if (message->fetch.length_bytes > 0) {
        GbReply_Unknown(self, path, message, GB_UNKNOWN_NO_RECORD);
    }
}

static void
receive_cancel(struct GbAgent *self, const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&self->flows, message->flow_id);
    struct GbRequest *request =
        flow != NULL ? GbFlow_Request(flow, message->request_id) : NULL;

    if (request != NULL) {
        GbDelivery_Cancel(self, request);
    }
}

/* Ends all requests of the flow. The record stays until it expires, so that
 * a late duplicate of a CALL cannot run under the same token. */
static void
receive_close(struct GbAgent *self, const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&self->flows, message->flow_id);

    while (flow != NULL && flow->requests != NULL) {
        struct GbRequest *request = flow->requests->data;
        bool was_queued = request->state == GB_REQUEST_QUEUED;

        GbDelivery_Cancel(self, request);
        if (!was_queued) {
            GbDelivery_Remove(self, request);
        }
    }
}

static void
expire_flows(struct GbAgent *self, int64_t now_us)
{
    struct GbFlow *flow;

    while ((flow = GbFlowTable_Oldest(&self->flows)) != NULL &&
           now_us - flow->last_used_us >= FLOW_IDLE_US) {
        if (flow->requests != NULL) {
            GbFlowTable_Touch(&self->flows, flow, now_us);
        }
        else {
            GbFlowTable_Remove(&self->flows, flow);
        }
    }
}

void
GbAgent_Init(struct GbAgent *self, const struct GbAgentConfig *config,
             struct GbAgentPort *port, struct GbClock *clock,
             struct GbRandom *random, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->config = *config;
    self->port = port;
    self->clock = clock;
    self->random = random;
    self->counters = counters;
    self->works = g_hash_table_new(g_int64_hash, g_int64_equal);
    GbFlowTable_Init(&self->flows, 0);
    GbSlots_Init(&self->slots, 1, 0);
    GbTimerQueue_Init(&self->timers);
}

void
GbAgent_Finish(struct GbAgent *self)
{
    struct GbFlow *flow;

    while ((flow = GbFlowTable_Oldest(&self->flows)) != NULL) {
        while (flow->requests != NULL) {
            struct GbRequest *request = flow->requests->data;

            if (request->state == GB_REQUEST_QUEUED) {
                GbSlots_Unqueue(&self->slots, request);
            }
            GbDelivery_Remove(self, request);
        }
        GbFlowTable_Remove(&self->flows, flow);
    }
    GbFlowTable_Finish(&self->flows);
    GbTimerQueue_Finish(&self->timers);
    g_hash_table_destroy(self->works);
    GbView_Unref(self->view);
}

void
GbAgent_SetView(struct GbAgent *self, struct GbView *view)
{
    GbView_Unref(self->view);
    self->view = view;
    self->service =
        GbDocument_ServiceByName(view->document, self->config.service);
    if (self->service != NULL) {
        self->flows.limit = self->service->limits.flows;
        self->slots.usable = self->service->slots;
        self->slots.queue_limit = self->service->limits.queue;
    }
    GbDelivery_Pump(self);
}

void
GbAgent_Receive(struct GbAgent *self, const struct GbPath *path,
                const struct GbMessage *message)
{
    if (!is_for_this_agent(self, message)) {
        return;
    }
    switch (message->kind) {
    case GB_MESSAGE_CALL:
        GbAdmission_Call(self, path, message);
        break;
    case GB_MESSAGE_FETCH:
        receive_fetch(self, path, message);
        break;
    case GB_MESSAGE_CANCEL:
        receive_cancel(self, message);
        break;
    case GB_MESSAGE_CLOSE:
        receive_close(self, message);
        break;
    default:
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        break;
    }
}

void
GbAgent_ReceiveMember(struct GbAgent *self, const struct GbAddress *from,
                      const struct GbMessage *message)
{
    (void)from;
    (void)message;
    GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
}

void
GbAgent_Drain(struct GbAgent *self)
{
    if (!self->is_draining) {
        self->is_draining = true;
        self->drain_started_us = GbClock_MonotonicUs(self->clock);
    }
}

/* Whether a caller may still send a new request under a token that it holds.
 */
static bool
is_token_in_use(const struct GbAgent *self)
{
    return GbFlowTable_Count(&self->flows) > 0 &&
           GbClock_MonotonicUs(self->clock) <
               GbFlowTable_LastUseUs(&self->flows) + GB_TOKEN_IDLE_US +
                   TOKEN_MARGIN_US;
}

bool
GbAgent_IsDrained(const struct GbAgent *self)
{
    int64_t limit_us = self->service != NULL
                           ? (int64_t)self->service->drain_flow_ms * 1000
                           : 0;

    return self->is_draining && self->request_count == 0 &&
           !is_token_in_use(self) &&
           GbClock_MonotonicUs(self->clock) >=
               self->drain_started_us + limit_us;
}

struct GbLoad
GbAgent_Load(const struct GbAgent *self)
{
    struct GbLoad load = {
        .running = GbSlots_Running(&self->slots),
        .queued = GbSlots_Queued(&self->slots),
        .capacity = self->slots.usable,
        .is_draining = self->is_draining,
    };

    return load;
}

int64_t
GbAgent_NextTimerUs(const struct GbAgent *self)
{
    int64_t next_us = GbTimerQueue_NextUs(&self->timers);
    const struct GbFlow *oldest = GbFlowTable_Oldest(&self->flows);

    if (oldest != NULL) {
        next_us = MIN(next_us, oldest->last_used_us + FLOW_IDLE_US);
    }
    return next_us;
}

void
GbAgent_Tick(struct GbAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbRequest *request;

    while ((request = GbTimerQueue_TakeDue(&self->timers, now_us)) != NULL) {
        GbDelivery_TimerDue(self, request, now_us);
    }
    expire_flows(self, now_us);
}
