#include "coordination/calls/execution.h"

#include "coordination/calls/reply.h"

#define US_PER_MS 1000
/* Time for which a complete response is kept without a FETCH. */
#define RETENTION_US INT64_C(30000000)
/* Time for which a response is kept after the caller has acknowledged all of
 * it. */
#define FETCHED_RETENTION_US INT64_C(1000000)
/* Time without progress after which an incomplete response is abandoned. */
#define STALL_TIMEOUT_US INT64_C(30000000)

static struct GbRequest *
find_request(struct GbAgent *agent, uint64_t work_id)
{
    return g_hash_table_lookup(agent->requests_by_work_id, &work_id);
}

static void
set_timer(struct GbAgent *agent, struct GbRequest *request, int64_t at_us)
{
    GbTimerQueue_Set(&agent->timers, &request->timer, at_us);
}

/* Frees the slot of a request that has ended at the target. */
static void
release_slot(struct GbAgent *agent, struct GbRequest *request)
{
    g_hash_table_remove(agent->requests_by_work_id, &request->work_id);
    GbSlots_Release(&agent->slots, request->work_class);
}

static void
record_duration(struct GbAgent *agent, const struct GbRequest *request,
                int64_t now_us)
{
    GbSlots_RecordDuration(&agent->slots, request->work_class,
                           now_us - request->started_us);
}

/* Records a response of the target, which shows that it is up. */
static void
record_success(struct GbAgent *agent, int64_t now_us)
{
    if (GbTargetState_RecordSuccess(&agent->target_state, now_us)) {
        GbSlots_StartRamp(&agent->slots, now_us);
    }
}

static void
refuse_admitted(struct GbAgent *agent, struct GbRequest *request,
                enum GbNotRunReason reason)
{
    GbFlow_ChangeToRefused(request->flow, request->id);
    GbReply_SendRequestNotRun(agent, request, reason);
    GbExecution_Remove(agent, request);
}

static void
fail_request(struct GbAgent *agent, struct GbRequest *request,
             enum GbUnknownReason reason)
{
    release_slot(agent, request);
    request->state = GB_REQUEST_FAILED;
    request->failure = reason;
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_FAILED, 1);
    GbReply_SendProgress(agent, request);
    set_timer(agent, request,
              GbClock_MonotonicUs(agent->clock) + RETENTION_US);
    GbExecution_StartQueued(agent);
}

static void
cancel_and_fail(struct GbAgent *agent, struct GbRequest *request,
                enum GbUnknownReason reason)
{
    agent->port->klass->cancel_target_request(agent->port, request->work_id);
    fail_request(agent, request, reason);
}

static void
set_running_timer(struct GbAgent *agent, struct GbRequest *request)
{
    int64_t at_us = request->deadline_us;

    if (request->work_class == GB_CLASS_SHORT && agent->service != NULL) {
        at_us =
            MIN(at_us, request->started_us +
                           (int64_t)agent->service->long_after_ms * US_PER_MS);
    }
    set_timer(agent, request, at_us);
}

static void
start_request(struct GbAgent *agent, struct GbRequest *request, int64_t now_us)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, request->operation_id);
    struct GbTargetRequest target_request = {0};

    if (request->flow->created_us >= agent->drain_started_us &&
        GbAgent_IsNewFlowGraceOver(agent, now_us)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DRAIN_REFUSED, 1);
        refuse_admitted(agent, request, GB_NOT_RUN_DRAINING);
        return;
    }
    if (operation == NULL) {
        /* A newer document without the operation came into force while the
         * request was queued. */
        refuse_admitted(agent, request, GB_NOT_RUN_UNKNOWN_OPERATION);
        return;
    }
    request->state = GB_REQUEST_RUNNING;
    request->started_us = now_us;
    request->work_id = ++agent->last_work_id;
    g_hash_table_insert(agent->requests_by_work_id, &request->work_id,
                        request);
    GbSlots_Acquire(&agent->slots, request->work_class);
    set_running_timer(agent, request);
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_STARTED, 1);
    target_request.work_id = request->work_id;
    target_request.flow_id = request->flow->id;
    target_request.request_id = request->id;
    target_request.operation_name = operation->name;
    target_request.timeout_us = request->deadline_us - now_us;
    target_request.body.data = request->body;
    target_request.body.size_bytes = request->body_bytes;
    target_request.window_bytes = GB_RESPONSE_WINDOW_BYTES;
    agent->port->klass->start_target_request(agent->port, &target_request);
    g_free(request->body);
    request->body = NULL;
}

static void
answer_pending_fetches(struct GbAgent *agent, struct GbRequest *request)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < request->pending_fetch_count; i++) {
        const struct GbPendingFetch *fetch = &request->pending_fetches[i];

        if (!GbReply_SendData(agent, request, &fetch->path, fetch->offset,
                              fetch->length_bytes) &&
            fetch->offset >= request->response.end &&
            !request->response.is_complete) {
            request->pending_fetches[kept++] = *fetch;
        }
    }
    request->pending_fetch_count = kept;
}

static bool
append_response(struct GbAgent *agent, struct GbRequest *request,
                struct GbBytes bytes)
{
    uint32_t before_bytes = request->response.capacity_bytes;
    bool is_appended = GbResponseBuffer_Append(&request->response, bytes);

    agent->response_buffer_bytes +=
        request->response.capacity_bytes - before_bytes;
    return is_appended;
}

static void
acknowledge_response(struct GbAgent *agent, struct GbRequest *request,
                     uint64_t offset)
{
    uint32_t before_bytes = request->response.capacity_bytes;
    uint32_t dropped =
        GbResponseBuffer_Acknowledge(&request->response, offset);

    if (request->response.capacity_bytes < before_bytes) {
        agent->response_buffer_bytes -=
            before_bytes - request->response.capacity_bytes;
        GbExecution_StartQueued(agent);
    }
    if (dropped > 0 && request->state == GB_REQUEST_RESPONDING) {
        agent->port->klass->extend_window(agent->port, request->work_id,
                                          dropped);
    }
}

void
GbExecution_StartQueued(struct GbAgent *agent)
{
    struct GbRequest *request;

    GbSlots_Refresh(&agent->slots, GbClock_MonotonicUs(agent->clock));
    GbSlotReservations_RemoveExpired(&agent->reservations,
                                     GbClock_MonotonicUs(agent->clock));
    while (agent->service != NULL &&
           agent->response_buffer_bytes < GB_RESPONSE_BUFFER_BYTES_MAX &&
           (request = GbSlots_Dequeue(&agent->slots)) != NULL) {
        /* Read the clock for each request, because the process may be paused
         * between two of them. */
        int64_t now_us = GbClock_MonotonicUs(agent->clock);

        if (now_us >= request->deadline_us) {
            GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
            refuse_admitted(agent, request, GB_NOT_RUN_DEADLINE);
        }
        else {
            start_request(agent, request, now_us);
        }
    }
    if (agent->service != NULL) {
        GbHandover_PlaceStartable(agent);
    }
}

void
GbExecution_HandleDuplicate(struct GbAgent *agent, struct GbRequest *request)
{
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_REPEATED, 1);
    if (request->state == GB_REQUEST_RESPONDING ||
        request->state == GB_REQUEST_FINISHED) {
        if (GbReply_SendData(agent, request, &request->path,
                             request->response.begin, GB_RANGE_BYTES_MAX)) {
            return;
        }
    }
    GbReply_SendProgress(agent, request);
}

void
GbExecution_HandleFetch(struct GbAgent *agent, struct GbRequest *request,
                        const struct GbReturnPath *path,
                        const struct GbFetchFields *fetch)
{
    struct GbPendingFetch pending = {fetch->offset, fetch->length_bytes,
                                     *path};
    int64_t now_us = GbClock_MonotonicUs(agent->clock);

    if (request->state < GB_REQUEST_RESPONDING ||
        request->state == GB_REQUEST_FAILED) {
        GbReply_SendProgress(agent, request);
        return;
    }
    acknowledge_response(agent, request, fetch->acknowledged);
    if (request->state == GB_REQUEST_FINISHED) {
        bool is_fetched = request->response.begin == request->response.end;

        set_timer(agent, request,
                  now_us + (is_fetched ? FETCHED_RETENTION_US : RETENTION_US));
    }
    else {
        set_timer(agent, request, now_us + STALL_TIMEOUT_US);
    }
    if (fetch->length_bytes == 0 ||
        GbReply_SendData(agent, request, path, fetch->offset,
                         fetch->length_bytes) ||
        fetch->offset < request->response.begin) {
        return;
    }
    if (!request->response.is_complete &&
        !GbRequest_AddPendingFetch(request, &pending)) {
        GbCounters_Add(agent->counters, GB_COUNTER_FETCHES_DROPPED, 1);
    }
}

void
GbExecution_Cancel(struct GbAgent *agent, struct GbRequest *request)
{
    if (request->state == GB_REQUEST_QUEUED) {
        GbSlots_RemoveQueued(&agent->slots, request);
        GbFlow_ChangeToRefused(request->flow, request->id);
        GbExecution_Remove(agent, request);
    }
    else if (GbRequest_IsAtTarget(request)) {
        cancel_and_fail(agent, request, GB_UNKNOWN_CANCELLED);
    }
}

void
GbExecution_HandleTimer(struct GbAgent *agent, struct GbRequest *request,
                        int64_t now_us)
{
    switch (request->state) {
    case GB_REQUEST_QUEUED:
        GbSlots_RemoveQueued(&agent->slots, request);
        GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
        refuse_admitted(agent, request, GB_NOT_RUN_DEADLINE);
        break;
    case GB_REQUEST_RUNNING:
        if (now_us >= request->deadline_us) {
            /* The elapsed time is a lower bound of the duration. */
            record_duration(agent, request, now_us);
            cancel_and_fail(agent, request, GB_UNKNOWN_DEADLINE_PASSED);
            break;
        }
        GbSlots_ReclassifyAsLong(&agent->slots);
        request->work_class = GB_CLASS_LONG;
        set_running_timer(agent, request);
        break;
    case GB_REQUEST_RESPONDING:
        cancel_and_fail(agent, request, GB_UNKNOWN_TARGET_FAILED);
        break;
    case GB_REQUEST_FINISHED:
    case GB_REQUEST_FAILED:
        GbExecution_Remove(agent, request);
        break;
    }
}

void
GbExecution_Remove(struct GbAgent *agent, struct GbRequest *request)
{
    struct GbFlow *flow = request->flow;

    GbTimerQueue_Clear(&agent->timers, &request->timer);
    flow->requests = g_slist_remove(flow->requests, request);
    agent->response_buffer_bytes -= request->response.capacity_bytes;
    GbRequest_Free(request);
    agent->request_count--;
}

void
GbAgent_HandleTargetHead(struct GbAgent *self, uint64_t work_id,
                         uint16_t target_status)
{
    struct GbRequest *request = find_request(self, work_id);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (request == NULL) {
        return;
    }
    record_success(self, now_us);
    request->state = GB_REQUEST_RESPONDING;
    request->response.target_status = target_status;
    set_timer(self, request, now_us + STALL_TIMEOUT_US);
}

void
GbAgent_HandleTargetBytes(struct GbAgent *self, uint64_t work_id,
                          struct GbBytes bytes)
{
    struct GbRequest *request = find_request(self, work_id);
    bool is_first;

    if (request == NULL) {
        return;
    }
    is_first = request->response.end < GB_RANGE_BYTES_MAX;
    if (request->response.end + bytes.size_bytes > request->max_answer_bytes ||
        !append_response(self, request, bytes)) {
        cancel_and_fail(self, request, GB_UNKNOWN_TARGET_FAILED);
        return;
    }
    set_timer(self, request,
              GbClock_MonotonicUs(self->clock) + STALL_TIMEOUT_US);
    if (is_first && request->response.end >= GB_RANGE_BYTES_MAX) {
        GbReply_SendData(self, request, &request->path, 0, GB_RANGE_BYTES_MAX);
    }
    answer_pending_fetches(self, request);
}

void
GbAgent_HandleTargetEnd(struct GbAgent *self, uint64_t work_id,
                        enum GbTargetOutcome outcome)
{
    struct GbRequest *request = find_request(self, work_id);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (request == NULL) {
        return;
    }
    switch (outcome) {
    case GB_TARGET_COMPLETED:
        record_duration(self, request, now_us);
        release_slot(self, request);
        request->state = GB_REQUEST_FINISHED;
        GbResponseBuffer_Complete(&request->response);
        GbCounters_Add(self->counters, GB_COUNTER_REQUESTS_FINISHED, 1);
        if (request->response.end < GB_RANGE_BYTES_MAX) {
            GbReply_SendData(self, request, &request->path, 0,
                             GB_RANGE_BYTES_MAX);
        }
        answer_pending_fetches(self, request);
        set_timer(self, request, now_us + RETENTION_US);
        GbExecution_StartQueued(self);
        break;
    case GB_TARGET_NOT_STARTED:
        GbTargetState_RecordConnectFailure(&self->target_state, now_us);
        release_slot(self, request);
        refuse_admitted(self, request, GB_NOT_RUN_BUSY);
        GbExecution_StartQueued(self);
        break;
    case GB_TARGET_SHED:
        record_success(self, now_us);
        GbSlots_RecordShed(&self->slots, now_us);
        release_slot(self, request);
        refuse_admitted(self, request, GB_NOT_RUN_SHED);
        GbExecution_StartQueued(self);
        break;
    case GB_TARGET_FAILED:
        fail_request(self, request, GB_UNKNOWN_TARGET_FAILED);
        break;
    }
}
