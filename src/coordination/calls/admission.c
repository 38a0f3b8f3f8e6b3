#include "coordination/calls/admission.h"

#include "coordination/calls/execution.h"
#include "coordination/calls/reply.h"

#define US_PER_MS 1000
/* Requests in progress that one flow may have at an agent. Records kept only
 * to answer duplicates do not count: they stay for a second, and a flow may
 * make many calls in that time. */
#define FLOW_REQUESTS_MAX 16
/* Request records of an agent, including those of retained responses. */
#define REQUEST_RECORDS_MAX 16384

static void
refuse_call(struct GbAgent *agent, struct GbFlow *flow,
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
    GbReply_SendNotRun(agent, path, message, reason);
}

static bool
is_drain_time_over(const struct GbAgent *agent)
{
    int64_t limit_us = (int64_t)agent->service->drain_flow_ms * US_PER_MS;

    return agent->is_draining && GbClock_MonotonicUs(agent->clock) >=
                                     agent->drain_started_us + limit_us;
}

/* Returns true if a draining agent refuses a request of this flow. */
static bool
is_refused_for_drain(const struct GbAgent *agent, const struct GbFlow *flow)
{
    if (!agent->is_draining) {
        return false;
    }
    if (flow == NULL || is_drain_time_over(agent)) {
        return true;
    }
    return flow->created_us >= agent->drain_started_us &&
           GbAgent_IsNewFlowGraceOver(agent,
                                      GbClock_MonotonicUs(agent->clock));
}

static bool
would_miss_deadline(const struct GbAgent *agent,
                    const struct GbOperation *operation)
{
    return GbSlots_ExpectedWaitUs(&agent->slots, operation->work_class) >
           (int64_t)operation->deadline_ms * US_PER_MS;
}

/* Returns the reason to refuse a new request; 0 if there is none. */
static enum GbNotRunReason
find_refusal_reason(struct GbAgent *agent, const struct GbFlow *flow,
                    const struct GbOperation *operation)
{
    if (is_refused_for_drain(agent, flow)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DRAIN_REFUSED, 1);
        return GB_NOT_RUN_DRAINING;
    }
    if ((flow == NULL && GbFlowTable_IsFull(&agent->flows)) ||
        !GbRateLimit_HasToken(&agent->rate_limit,
                              GbClock_MonotonicUs(agent->clock))) {
        GbCounters_Add(agent->counters, GB_COUNTER_FLOWS_REFUSED, 1);
        return GB_NOT_RUN_LIMIT;
    }
    if ((!GbSlots_HasFreeSlot(&agent->slots, operation->work_class) &&
         !GbSlots_HasQueueSpace(&agent->slots, operation->work_class)) ||
        agent->request_count >= REQUEST_RECORDS_MAX ||
        agent->response_buffer_bytes >= GB_RESPONSE_BUFFER_BYTES_MAX ||
        (flow != NULL &&
         GbFlow_CountOpenRequests(flow) >= FLOW_REQUESTS_MAX)) {
        GbCounters_Add(agent->counters, GB_COUNTER_QUEUE_REFUSED, 1);
        return GB_NOT_RUN_BUSY;
    }
    if (would_miss_deadline(agent, operation)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
        return GB_NOT_RUN_DEADLINE;
    }
    return 0;
}

static void
admit_request(struct GbAgent *agent, struct GbFlow *flow,
              const struct GbReturnPath *path, const struct GbMessage *message,
              const struct GbOperation *operation)
{
    int64_t now_us = GbClock_MonotonicUs(agent->clock);
    struct GbRequest *request = GbRequest_New(flow, message->request_id,
                                              operation, message->call.body);

    GbFlow_MarkAdmitted(flow, request->id);
    GbRateLimit_Spend(&agent->rate_limit);
    flow->requests = g_slist_prepend(flow->requests, request);
    agent->request_count++;
    request->path = *path;
    request->admitted_us = now_us;
    request->deadline_us =
        now_us + (int64_t)operation->deadline_ms * US_PER_MS;
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_ADMITTED, 1);
    GbTimerQueue_Set(&agent->timers, &request->timer, request->deadline_us);
    GbReply_SendProgress(agent, request);
    GbSlots_Enqueue(&agent->slots, request);
    GbExecution_StartQueued(agent);
}

static void
handle_duplicate(struct GbAgent *agent, struct GbFlow *flow,
                 const struct GbReturnPath *path,
                 const struct GbMessage *message,
                 enum GbRequestIdState id_state)
{
    struct GbRequest *request = GbFlow_FindRequest(flow, message->request_id);

    if (id_state == GB_REQUEST_ID_REFUSED) {
        GbReply_SendNotRun(agent, path, message, GB_NOT_RUN_BUSY);
    }
    else if (request != NULL) {
        request->path = *path;
        GbExecution_HandleDuplicate(agent, request);
    }
    else {
        GbReply_SendUnknown(agent, path, message, GB_UNKNOWN_NO_RECORD);
    }
}

static void
handle_new_call(struct GbAgent *agent, struct GbFlow *flow,
                const struct GbReturnPath *path,
                const struct GbMessage *message)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, message->call.operation_id);
    enum GbNotRunReason reason;

    GbSlots_Refresh(&agent->slots, GbClock_MonotonicUs(agent->clock));
    if (operation == NULL) {
        refuse_call(agent, flow, path, message, GB_NOT_RUN_UNKNOWN_OPERATION);
        return;
    }
    if (message->call.body.size_bytes > GB_CALL_BODY_BYTES_MAX) {
        refuse_call(agent, flow, path, message, GB_NOT_RUN_TOO_LARGE);
        return;
    }
    reason = find_refusal_reason(agent, flow, operation);
    if (reason != 0) {
        refuse_call(agent, flow, path, message, reason);
        return;
    }
    if (!message->has_token && !operation->is_idempotent) {
        /* The refusal carries a token. The caller submits the request again
         * under it, and only then it may run. */
        GbSlotReservations_Add(&agent->reservations,
                               GbClock_MonotonicUs(agent->clock));
        GbReply_SendNotRun(agent, path, message, GB_NOT_RUN_BIND);
        return;
    }
    if (flow == NULL) {
        int64_t now_us = GbClock_MonotonicUs(agent->clock);

        flow = GbFlowTable_Add(&agent->flows, message->flow_id,
                               (uint64_t)now_us / US_PER_MS, now_us);
    }
    admit_request(agent, flow, path, message, operation);
}

static void
handle_call(struct GbAgent *agent, struct GbFlow *flow,
            const struct GbReturnPath *path, const struct GbMessage *message)
{
    enum GbRequestIdState id_state =
        flow != NULL ? GbFlow_RequestIdState(flow, message->request_id)
                     : GB_REQUEST_ID_NEW;

    if (id_state == GB_REQUEST_ID_NEW) {
        handle_new_call(agent, flow, path, message);
    }
    else {
        handle_duplicate(agent, flow, path, message, id_state);
    }
}

/* Handles an unbound CALL without a flow record that is a duplicate of a
 * recent CALL: if that CALL was refused, the duplicate must not run, and if it
 * was handed over, the duplicate may only go to the same member. Returns false
 * if it is no such duplicate. */
static bool
handle_recent_duplicate(struct GbAgent *agent, const struct GbReturnPath *path,
                        const struct GbMessage *message)
{
    const struct GbRecentCall *call = GbRecentCalls_Find(
        &agent->recent_calls, message->flow_id, message->request_id);

    if (call == NULL) {
        return false;
    }
    if (call->outcome == GB_RECENT_CALL_REFUSED) {
        GbReply_SendNotRun(agent, path, message, GB_NOT_RUN_BUSY);
    }
    else {
        GbHandover_Resend(agent, path, message, call->member_id);
    }
    return true;
}

/* Returns true if an unbound CALL should be handed over to a member of the
 * pool. */
static bool
should_hand_over(struct GbAgent *agent, const struct GbMessage *message)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, message->call.operation_id);
    int64_t now_us;

    if (operation == NULL ||
        message->call.body.size_bytes > GB_CALL_BODY_BYTES_MAX ||
        GbFlowTable_Find(&agent->flows, message->flow_id) != NULL) {
        return false;
    }
    if (!GbAgent_AcceptsNewFlows(agent)) {
        return true;
    }
    now_us = GbClock_MonotonicUs(agent->clock);
    GbSlots_Refresh(&agent->slots, now_us);
    GbSlotReservations_RemoveExpired(&agent->reservations, now_us);
    return !GbAgent_HasFreeSlot(agent, operation->work_class);
}

struct GbFlow *
GbAdmission_ResolveFlow(struct GbAgent *agent, const struct GbReturnPath *path,
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
            GbSlotReservations_RemoveOldest(&agent->reservations);
        }
    }
    if (flow == NULL) {
        GbReply_SendUnknown(agent, path, message, GB_UNKNOWN_NO_RECORD);
        return NULL;
    }
    GbFlowTable_Touch(&agent->flows, flow, now_us);
    return flow;
}

void
GbAdmission_HandleCall(struct GbAgent *agent, const struct GbReturnPath *path,
                       const struct GbMessage *message)
{
    struct GbFlow *flow;

    if (!message->has_token) {
        if (!handle_recent_duplicate(agent, path, message) &&
            !(should_hand_over(agent, message) &&
              GbHandover_QueryMembers(agent, path, message))) {
            GbAdmission_HandleLocally(agent, path, message);
        }
        return;
    }
    flow = GbAdmission_ResolveFlow(agent, path, message, true);
    if (flow != NULL) {
        handle_call(agent, flow, path, message);
    }
}

void
GbAdmission_HandleHandover(struct GbAgent *agent,
                           const struct GbReturnPath *path,
                           const struct GbMessage *message)
{
    if (!handle_recent_duplicate(agent, path, message)) {
        GbAdmission_HandleLocally(agent, path, message);
    }
}

void
GbAdmission_HandleLocally(struct GbAgent *agent,
                          const struct GbReturnPath *path,
                          const struct GbMessage *message)
{
    struct GbFlow *flow = GbFlowTable_Find(&agent->flows, message->flow_id);

    handle_call(agent, flow, path, message);
}
