#include "coordination/calls/admission.h"

#include "coordination/calls/delivery.h"
#include "coordination/calls/reply.h"

#define US_PER_MS 1000
/* Requests that one flow may have at an agent at once. Those that are kept
 * for repeats only don't count: they stay for a second, and a session may make
 * many calls in that time. */
#define FLOW_REQUESTS_MAX 16
/* Request records that an agent holds, with the retained answers. */
#define REQUESTS_MAX 16384

static void
refuse(struct GbAgent *agent, struct GbFlow *flow,
       const struct GbReturnPath *path, const struct GbMessage *message,
       enum GbNotRunReason reason)
{
    if (flow != NULL) {
        GbFlow_MarkRefused(flow, message->request_id);
    }
    else {
        struct GbRecentCall call = {.flow_id = message->flow_id,
                                    .request_id = message->request_id,
                                    .outcome = GB_RECENT_CALL_REFUSED};

        GbRecentCalls_Add(&agent->recent_calls, &call);
    }
    GbReply_NotRun(agent, path, message, reason);
}

static bool
is_past_drain(const struct GbAgent *agent)
{
    int64_t limit_us = (int64_t)agent->service->drain_flow_ms * US_PER_MS;

    return agent->is_draining && GbClock_MonotonicUs(agent->clock) >=
                                     agent->drain_started_us + limit_us;
}

/* Whether a leaving agent refuses a request of this flow. */
static bool
is_refused_by_drain(const struct GbAgent *agent, const struct GbFlow *flow)
{
    if (!agent->is_draining) {
        return false;
    }
    if (flow == NULL || is_past_drain(agent)) {
        return true;
    }
    return flow->created_us >= agent->drain_started_us &&
           GbAgent_IsPastNewFlows(agent, GbClock_MonotonicUs(agent->clock));
}

static bool
is_past_deadline(const struct GbAgent *agent,
                 const struct GbOperation *operation)
{
    return GbSlots_ExpectedWaitUs(&agent->slots, operation->work_class) >
           (int64_t)operation->deadline_ms * US_PER_MS;
}

/* Reason to refuse a new request here; 0 if there is none. */
static enum GbNotRunReason
reason_to_refuse(struct GbAgent *agent, const struct GbFlow *flow,
                 const struct GbOperation *operation)
{
    if (is_refused_by_drain(agent, flow)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DRAIN_REFUSED, 1);
        return GB_NOT_RUN_DRAINING;
    }
    if ((flow == NULL && GbFlowTable_IsFull(&agent->flows)) ||
        !GbRateLimit_IsOpen(&agent->rate_limit,
                            GbClock_MonotonicUs(agent->clock))) {
        GbCounters_Add(agent->counters, GB_COUNTER_FLOWS_REFUSED, 1);
        return GB_NOT_RUN_LIMIT;
    }
    if ((!GbSlots_HasRoom(&agent->slots, operation->work_class) &&
         !GbSlots_MayQueue(&agent->slots, operation->work_class)) ||
        agent->request_count >= REQUESTS_MAX ||
        agent->answer_bytes >= GB_ANSWERS_BYTES_MAX ||
        (flow != NULL &&
         GbFlow_CountOpenRequests(flow) >= FLOW_REQUESTS_MAX)) {
        GbCounters_Add(agent->counters, GB_COUNTER_QUEUE_REFUSED, 1);
        return GB_NOT_RUN_BUSY;
    }
    if (is_past_deadline(agent, operation)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
        return GB_NOT_RUN_DEADLINE;
    }
    return 0;
}

static void
admit(struct GbAgent *agent, struct GbFlow *flow,
      const struct GbReturnPath *path, const struct GbMessage *message,
      const struct GbOperation *operation)
{
    int64_t now_us = GbClock_MonotonicUs(agent->clock);
    struct GbRequest *request = GbRequest_New(flow, message->request_id,
                                              operation, message->call.body);

    GbFlow_MarkAdmitted(flow, request->id);
    GbRateLimit_Take(&agent->rate_limit);
    flow->requests = g_slist_prepend(flow->requests, request);
    agent->request_count++;
    request->path = *path;
    request->admitted_us = now_us;
    request->deadline_us =
        now_us + (int64_t)operation->deadline_ms * US_PER_MS;
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_ADMITTED, 1);
    GbTimerQueue_Set(&agent->timers, &request->timer, request->deadline_us);
    GbReply_Progress(agent, request);
    GbSlots_Enqueue(&agent->slots, request);
    GbDelivery_Pump(agent);
}

static void
repeat(struct GbAgent *agent, struct GbFlow *flow,
       const struct GbReturnPath *path, const struct GbMessage *message,
       enum GbRequestIdState mark)
{
    struct GbRequest *request = GbFlow_FindRequest(flow, message->request_id);

    if (mark == GB_REQUEST_ID_REFUSED) {
        GbReply_NotRun(agent, path, message, GB_NOT_RUN_BUSY);
    }
    else if (request != NULL) {
        request->path = *path;
        GbDelivery_Repeat(agent, request);
    }
    else {
        GbReply_Unknown(agent, path, message, GB_UNKNOWN_NO_RECORD);
    }
}

static void
place(struct GbAgent *agent, struct GbFlow *flow,
      const struct GbReturnPath *path, const struct GbMessage *message)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, message->call.operation_id);
    enum GbNotRunReason reason;

    GbSlots_Refresh(&agent->slots, GbClock_MonotonicUs(agent->clock));
    if (operation == NULL) {
        refuse(agent, flow, path, message, GB_NOT_RUN_UNKNOWN_OPERATION);
        return;
    }
    if (message->call.body.size_bytes > GB_CALL_BODY_BYTES) {
        refuse(agent, flow, path, message, GB_NOT_RUN_TOO_LARGE);
        return;
    }
    reason = reason_to_refuse(agent, flow, operation);
    if (reason != 0) {
        refuse(agent, flow, path, message, reason);
        return;
    }
    if (!message->has_token && !operation->is_idempotent) {
        /* The refusal is the handshake: it runs only under the token. */
        GbReservations_Add(&agent->reservations,
                           GbClock_MonotonicUs(agent->clock));
        GbReply_NotRun(agent, path, message, GB_NOT_RUN_BIND);
        return;
    }
    if (flow == NULL) {
        int64_t now_us = GbClock_MonotonicUs(agent->clock);

        flow = GbFlowTable_Add(&agent->flows, message->flow_id,
                               (uint64_t)now_us / US_PER_MS, now_us);
    }
    admit(agent, flow, path, message, operation);
}

static void
place_or_repeat(struct GbAgent *agent, struct GbFlow *flow,
                const struct GbReturnPath *path,
                const struct GbMessage *message)
{
    enum GbRequestIdState mark =
        flow != NULL ? GbFlow_RequestIdState(flow, message->request_id)
                     : GB_REQUEST_ID_NEW;

    if (mark == GB_REQUEST_ID_NEW) {
        place(agent, flow, path, message);
    }
    else {
        repeat(agent, flow, path, message, mark);
    }
}

/* Handles an unbound CALL that has left no flow record but was decided about
 * a moment ago: a duplicate of a refused CALL must not run, and a repeat of a
 * CALL that was handed over may only go to the same member. */
static bool
is_known(struct GbAgent *agent, const struct GbReturnPath *path,
         const struct GbMessage *message)
{
    const struct GbRecentCall *call = GbRecentCalls_Find(
        &agent->recent_calls, message->flow_id, message->request_id);

    if (call == NULL) {
        return false;
    }
    if (call->outcome == GB_RECENT_CALL_REFUSED) {
        GbReply_NotRun(agent, path, message, GB_NOT_RUN_BUSY);
    }
    else {
        GbHandover_Again(agent, path, message, call->member_id);
    }
    return true;
}

/* Whether another member should be asked to take an unbound CALL. */
static bool
should_hand_over(struct GbAgent *agent, const struct GbMessage *message)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, message->call.operation_id);
    int64_t now_us;

    if (operation == NULL ||
        message->call.body.size_bytes > GB_CALL_BODY_BYTES ||
        GbFlowTable_Find(&agent->flows, message->flow_id) != NULL) {
        return false;
    }
    if (!GbAgent_TakesNewFlows(agent)) {
        return true;
    }
    now_us = GbClock_MonotonicUs(agent->clock);
    GbSlots_Refresh(&agent->slots, now_us);
    GbReservations_Refresh(&agent->reservations, now_us);
    return !GbAgent_HasRoom(agent, operation->work_class);
}

struct GbFlow *
GbAdmission_Flow(struct GbAgent *agent, const struct GbReturnPath *path,
                 const struct GbMessage *message, bool may_add)
{
    const struct GbToken *token = &message->token;
    int64_t now_us = GbClock_MonotonicUs(agent->clock);
    uint64_t now_ms = (uint64_t)now_us / US_PER_MS;
    struct GbFlow *flow = NULL;

    if (token->incarnation == agent->config.incarnation) {
        flow = GbFlowTable_Find(&agent->flows, message->flow_id);
        if (flow == NULL && may_add &&
            now_ms < token->issued_ms + GB_TOKEN_FIRST_USE_MS) {
            flow = GbFlowTable_Add(&agent->flows, message->flow_id,
                                   token->issued_ms, now_us);
            GbReservations_Take(&agent->reservations);
        }
    }
    if (flow == NULL) {
        GbReply_Unknown(agent, path, message, GB_UNKNOWN_NO_RECORD);
        return NULL;
    }
    GbFlowTable_Touch(&agent->flows, flow, now_us);
    return flow;
}

void
GbAdmission_Call(struct GbAgent *agent, const struct GbReturnPath *path,
                 const struct GbMessage *message)
{
    struct GbFlow *flow;

    if (!message->has_token) {
        if (!is_known(agent, path, message) &&
            !(should_hand_over(agent, message) &&
              GbHandover_Take(agent, path, message))) {
            GbAdmission_Place(agent, path, message);
        }
        return;
    }
    flow = GbAdmission_Flow(agent, path, message, true);
    if (flow != NULL) {
        place_or_repeat(agent, flow, path, message);
    }
}

void
GbAdmission_HandedOver(struct GbAgent *agent, const struct GbReturnPath *path,
                       const struct GbMessage *message)
{
    if (!is_known(agent, path, message)) {
        GbAdmission_Place(agent, path, message);
    }
}

void
GbAdmission_Place(struct GbAgent *agent, const struct GbReturnPath *path,
                  const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&agent->flows, message->flow_id);

    place_or_repeat(agent, flow, path, message);
}
