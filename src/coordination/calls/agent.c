#include "coordination/calls/agent.h"

#include <string.h>

#include "coordination/calls/admission.h"
#include "coordination/calls/execution.h"
#include "coordination/calls/membership.h"
#include "coordination/calls/reply.h"
#include "state/timer_queue.h"

/* Idle time after which a flow record expires: far longer than callers keep a
 * token that they do not use. */
#define FLOW_IDLE_US INT64_C(300000000)
/* Allowance for the transit of the last datagram under a token. */
#define TOKEN_MARGIN_US INT64_C(1000000)
#define US_PER_MS 1000
/* ALIVE is sent once a second with a jitter of a tenth in either direction, so
 * that the members of a pool do not send in step. */
#define ALIVE_MIN_US 900000
#define ALIVE_JITTER_US 200000

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
receive_fetch(struct GbAgent *self, const struct GbReturnPath *path,
              const struct GbMessage *message)
{
    struct GbFlow *flow = GbAdmission_ResolveFlow(self, path, message, false);
    struct GbRequest *request;

    if (flow == NULL) {
        return;
    }
    request = GbFlow_FindRequest(flow, message->request_id);
    if (request != NULL) {
        request->path = *path;
        GbExecution_HandleFetch(self, request, path, &message->fetch);
    }
    else if (message->fetch.length_bytes > 0) {
        GbReply_SendUnknown(self, path, message, GB_UNKNOWN_NO_RECORD);
    }
}

static void
receive_cancel(struct GbAgent *self, const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&self->flows, message->flow_id);
    struct GbRequest *request =
        flow != NULL ? GbFlow_FindRequest(flow, message->request_id) : NULL;

    if (request != NULL) {
        GbExecution_Cancel(self, request);
    }
}

/* Ends all requests of the flow. Its record stays until it expires, so that a
 * late duplicate of a CALL cannot run under the same token. */
static void
receive_close(struct GbAgent *self, const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&self->flows, message->flow_id);

    while (flow != NULL && flow->requests != NULL) {
        struct GbRequest *request = flow->requests->data;
        bool was_queued = request->state == GB_REQUEST_QUEUED;

        GbExecution_Cancel(self, request);
        if (!was_queued) {
            GbExecution_Remove(self, request);
        }
    }
}

static void
expire_flows(struct GbAgent *self, int64_t now_us)
{
    struct GbFlow *flow;

    while ((flow = GbFlowTable_LeastRecentlyUsed(&self->flows)) != NULL &&
           now_us - flow->last_used_us >= FLOW_IDLE_US) {
        if (flow->requests != NULL) {
            GbFlowTable_Touch(&self->flows, flow, now_us);
        }
        else {
            GbFlowTable_Remove(&self->flows, flow);
        }
    }
}

/* Returns this agent's share of a limit that is split between the live agents
 * of the pool. The share of a limit above 0 is at least 1. */
static uint32_t
share_of_limit(uint32_t limit, uint32_t sharers)
{
    return limit == 0 ? 0 : MAX(limit / sharers, 1);
}

static bool
has_short_operation(const struct GbService *service)
{
    for (uint32_t i = 0; i < service->operation_count; i++) {
        if (service->operations[i].work_class == GB_CLASS_SHORT) {
            return true;
        }
    }
    return false;
}

static void
set_limits(struct GbAgent *self, int64_t now_us)
{
    const struct GbLimits *limits = &self->service->limits;
    uint32_t sharers = GbPool_CountLimitSharers(&self->pool, now_us);

    self->flows.limit = share_of_limit(limits->flows, sharers);
    self->slots.queue_limit = share_of_limit(limits->queue, sharers);
    GbRateLimit_SetRate(&self->rate_limit,
                        share_of_limit(limits->rate_per_s, sharers), now_us);
}

/* Sets or clears one drain cause. A drain that has started continues until all
 * causes are cleared. */
static void
set_drain_cause(struct GbAgent *self, enum GbDrainCause cause, bool is_set)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    bool was_draining = self->is_draining;

    if (is_set) {
        self->drain_causes |= (uint32_t)cause;
    }
    else {
        self->drain_causes &= ~(uint32_t)cause;
    }
    self->is_draining = self->drain_causes != 0;
    if (self->is_draining == was_draining) {
        return;
    }
    if (self->is_draining) {
        self->drain_started_us = now_us;
    }
    /* Notify the members without delay, because they must not hand over CALLs
     * to a draining agent. */
    GbMembership_SendAlive(self);
}

static void
send_alive(struct GbAgent *self, int64_t now_us)
{
    self->next_alive_us = now_us + ALIVE_MIN_US +
                          GbRandom_Below(self->random, ALIVE_JITTER_US + 1);
    GbMembership_SendAlive(self);
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
    self->requests_by_work_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    GbFlowTable_Init(&self->flows, 0);
    GbSlots_Init(&self->slots, 1, 0);
    GbTimerQueue_Init(&self->timers);
    GbPool_Init(&self->pool);
    GbHandover_Init(&self->handover);
    GbRecentCalls_Init(&self->recent_calls);
    GbSlotReservations_Init(&self->reservations);
    GbTargetState_Init(&self->target_state);
    self->next_alive_us = GB_TIMER_NEVER;
}

void
GbAgent_Finish(struct GbAgent *self)
{
    struct GbFlow *flow;

    while ((flow = GbFlowTable_LeastRecentlyUsed(&self->flows)) != NULL) {
        while (flow->requests != NULL) {
            struct GbRequest *request = flow->requests->data;

            if (request->state == GB_REQUEST_QUEUED) {
                GbSlots_RemoveQueued(&self->slots, request);
            }
            GbExecution_Remove(self, request);
        }
        GbFlowTable_Remove(&self->flows, flow);
    }
    GbHandover_Finish(&self->handover);
    GbRecentCalls_Finish(&self->recent_calls);
    GbFlowTable_Finish(&self->flows);
    GbTimerQueue_Finish(&self->timers);
    g_hash_table_destroy(self->requests_by_work_id);
    GbView_Unref(self->view);
}

void
GbAgent_SetView(struct GbAgent *self, struct GbView *view)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    bool is_first = self->service == NULL;
    const struct GbInstance *own =
        GbInstanceList_Find(view->list, self->config.instance_id);

    GbView_Unref(self->view);
    self->view = view;
    self->service =
        GbDocument_FindServiceByName(view->document, self->config.service);
    if (self->service == NULL) {
        /* Without the service no CALL can be placed. Callers resend those
         * that are dropped here. */
        GbHandover_Finish(&self->handover);
        self->next_alive_us = GB_TIMER_NEVER;
        return;
    }
    GbPool_SetInstances(&self->pool, view->list, self->config.service,
                        self->config.instance_id, now_us, self->counters);
    if (is_first) {
        GbRateLimit_Init(&self->rate_limit, self->service->limits.rate_per_s,
                         now_us);
        GbSlots_StartRamp(&self->slots, now_us);
        send_alive(self, now_us);
    }
    set_limits(self, now_us);
    GbSlots_SetTotal(&self->slots, self->service->slots,
                     self->service->ramp_ms,
                     has_short_operation(self->service), now_us);
    set_drain_cause(self, GB_DRAIN_INSTANCE_LIST,
                    own != NULL && own->is_leaving);
    GbExecution_StartQueued(self);
}

void
GbAgent_Receive(struct GbAgent *self, const struct GbReturnPath *path,
                const struct GbMessage *message)
{
    if (!is_for_this_agent(self, message)) {
        return;
    }
    switch (message->kind) {
    case GB_MESSAGE_CALL:
        GbAdmission_HandleCall(self, path, message);
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
GbAgent_ReceiveFromMember(struct GbAgent *self, const struct GbAddress *from,
                          const struct GbMessage *message)
{
    GbMembership_Receive(self, from, message);
}

void
GbAgent_SetTargetHealth(struct GbAgent *self, enum GbTargetHealth health)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (GbTargetState_SetHealth(&self->target_state, health, now_us)) {
        GbSlots_StartRamp(&self->slots, now_us);
    }
    if (health == GB_HEALTH_LEAVING) {
        set_drain_cause(self, GB_DRAIN_HEALTH, true);
    }
    else if (health == GB_HEALTH_OK || health == GB_HEALTH_STARTING) {
        set_drain_cause(self, GB_DRAIN_HEALTH, false);
    }
}

void
GbAgent_SetTargetSlots(struct GbAgent *self, uint32_t slots)
{
    GbSlots_SetReported(&self->slots, slots, GbClock_MonotonicUs(self->clock));
    GbExecution_StartQueued(self);
}

void
GbAgent_StartDrain(struct GbAgent *self)
{
    set_drain_cause(self, GB_DRAIN_STOP, true);
}

bool
GbAgent_AcceptsNewFlows(const struct GbAgent *self)
{
    return !self->is_draining && !self->target_state.is_down;
}

bool
GbAgent_HasFreeSlot(const struct GbAgent *self,
                    enum GbOperationClass work_class)
{
    return GbSlots_HasFreeSlot(&self->slots, work_class) &&
           GbSlots_Running(&self->slots) + self->reservations.count <
               self->slots.usable;
}

bool
GbAgent_IsNewFlowGraceOver(const struct GbAgent *self, int64_t now_us)
{
    return self->is_draining &&
           now_us - self->drain_started_us >= GB_DRAIN_NEW_FLOW_GRACE_US;
}

/* Returns true if a caller may still send a new request under a token of this
 * agent. */
static bool
is_token_in_use(const struct GbAgent *self)
{
    return GbFlowTable_Count(&self->flows) > 0 &&
           GbClock_MonotonicUs(self->clock) <
               GbFlowTable_LastUsedUs(&self->flows) + GB_TOKEN_IDLE_US +
                   TOKEN_MARGIN_US;
}

bool
GbAgent_IsDrained(const struct GbAgent *self)
{
    int64_t limit_us = self->service != NULL
                           ? (int64_t)self->service->drain_flow_ms * US_PER_MS
                           : 0;

    return self->is_draining && self->request_count == 0 &&
           !is_token_in_use(self) && self->handover.waiting.length == 0 &&
           GbClock_MonotonicUs(self->clock) >=
               self->drain_started_us + limit_us;
}

struct GbLoad
GbAgent_Load(const struct GbAgent *self)
{
    struct GbLoad load = {
        .running = GbSlots_Running(&self->slots),
        .queued = GbSlots_Queued(&self->slots) + self->reservations.count,
        /* Members must not hand over to a target that refuses connections. */
        .capacity = self->target_state.is_down ? 0 : self->slots.usable,
        .is_draining = self->is_draining,
    };

    return load;
}

int64_t
GbAgent_NextTimerUs(const struct GbAgent *self)
{
    int64_t next_us = GbTimerQueue_NextUs(&self->timers);
    const struct GbFlow *oldest = GbFlowTable_LeastRecentlyUsed(&self->flows);

    if (oldest != NULL) {
        next_us = MIN(next_us, oldest->last_used_us + FLOW_IDLE_US);
    }
    next_us = MIN(next_us, self->next_alive_us);
    next_us =
        GbTimer_Earlier(next_us, GbHandover_NextTimerUs(&self->handover));
    if (GbSlots_Queued(&self->slots) > 0 ||
        self->handover.waiting.length > 0) {
        next_us = GbTimer_Earlier(next_us, GbSlots_NextChangeUs(&self->slots));
    }
    return next_us;
}

void
GbAgent_Tick(struct GbAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbRequest *request;

    while ((request = GbTimerQueue_TakeDue(&self->timers, now_us)) != NULL) {
        GbExecution_HandleTimer(self, request, now_us);
    }
    GbHandover_Tick(self, now_us);
    if (now_us >= self->next_alive_us) {
        set_limits(self, now_us);
        send_alive(self, now_us);
    }
    GbExecution_StartQueued(self);
    expire_flows(self, now_us);
}
