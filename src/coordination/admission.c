#include "coordination/admission.h"

#include "coordination/delivery.h"
#include "coordination/reply.h"

#define US_PER_MS 1000
/* Requests that one flow may have at an agent at once. Those that are kept
 * for repeats only don't count: they stay for a second, and a session may make
 * many calls in that time. */
#define FLOW_REQUESTS_MAX 16
/* Request records that an agent holds, with the retained answers. */
#define REQUESTS_MAX 16384

static void
refuse(struct GbAgent *agent, struct GbFlow *flow, const struct GbPath *path,
       const struct GbMessage *message, enum GbNotRunReason reason)
{
    if (flow != NULL) {
        GbFlow_SetRefused(flow, message->request_id);
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

/* Reason to refuse a new request here; 0 if there is none. */
static enum GbNotRunReason
reason_to_refuse(struct GbAgent *agent, const struct GbFlow *flow,
                 const struct GbOperation *operation)
{
    if (agent->is_draining && (flow == NULL || is_past_drain(agent))) {
        GbCounters_Add(agent->counters, GB_COUNTER_DRAIN_REFUSED, 1);
        return GB_NOT_RUN_DRAINING;
    }
    if (flow == NULL && GbFlowTable_IsFull(&agent->flows)) {
        GbCounters_Add(agent->counters, GB_COUNTER_FLOWS_REFUSED, 1);
        return GB_NOT_RUN_LIMIT;
    }
    if ((!GbSlots_HasRoom(&agent->slots, operation->work_class) &&
         !GbSlots_MayQueue(&agent->slots, operation->work_class)) ||
        agent->request_count >= REQUESTS_MAX ||
        (flow != NULL && GbFlow_OpenRequests(flow) >= FLOW_REQUESTS_MAX)) {
        GbCounters_Add(agent->counters, GB_COUNTER_QUEUE_REFUSED, 1);
        return GB_NOT_RUN_BUSY;
    }
    return 0;
}

static void
admit(struct GbAgent *agent, struct GbFlow *flow, const struct GbPath *path,
      const struct GbMessage *message, const struct GbOperation *operation)
{
    int64_t now_us = GbClock_MonotonicUs(agent->clock);
    struct GbRequest *request = GbRequest_New(flow, message->request_id,
                                              operation, message->call.body);

    GbFlow_SetSeen(flow, request->id);
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
repeat(struct GbAgent *agent, struct GbFlow *flow, const struct GbPath *path,
       const struct GbMessage *message, enum GbRequestMark mark)
{
    struct GbRequest *request = GbFlow_Request(flow, message->request_id);

    if (mark == GB_MARK_REFUSED) {
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
place(struct GbAgent *agent, struct GbFlow *flow, const struct GbPath *path,
      const struct GbMessage *message)
{
    const struct GbOperation *operation =
        GbService_Operation(agent->service, message->call.operation_id);
    enum GbNotRunReason reason;

    if (operation == NULL) {
        refuse(agent, flow, path, message, GB_NOT_RUN_UNKNOWN_OPERATION);
        return;
    }
    reason = reason_to_refuse(agent, flow, operation);
    if (reason != 0) {
        refuse(agent, flow, path, message, reason);
        return;
    }
    if (!message->has_token && !operation->is_idempotent) {
        /* The refusal is the handshake: it runs only under the token. */
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

struct GbFlow *
GbAdmission_Flow(struct GbAgent *agent, const struct GbPath *path,
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
GbAdmission_Call(struct GbAgent *agent, const struct GbPath *path,
                 const struct GbMessage *message)
{
    struct GbFlow *flow;

    if (message->has_token) {
        flow = GbAdmission_Flow(agent, path, message, true);
        if (flow == NULL) {
            return;
        }
    }
    else {
        flow = GbFlowTable_Find(&agent->flows, message->flow_id);
    }
    if (flow != NULL) {
        enum GbRequestMark mark = GbFlow_Mark(flow, message->request_id);

        if (mark != GB_MARK_NEW) {
            repeat(agent, flow, path, message, mark);
            return;
        }
    }
    place(agent, flow, path, message);
}
