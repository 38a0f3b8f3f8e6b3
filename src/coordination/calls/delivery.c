#include "coordination/calls/delivery.h"

#include "coordination/calls/reply.h"

#define US_PER_MS 1000
/* Time for which an answer is kept without a FETCH. */
#define RETENTION_US INT64_C(30000000)
/* Time for which an answer is kept after the caller has all of it. */
#define LINGER_US INT64_C(1000000)
/* Time without progress after which an answer in transfer is given up. */
#define STALL_US INT64_C(30000000)

static struct GbRequest *
find_work(struct GbAgent *agent, uint64_t work_id)
{
    return g_hash_table_lookup(agent->works, &work_id);
}

static void
set_timer(struct GbAgent *agent, struct GbRequest *request, int64_t at_us)
{
    GbTimerQueue_Set(&agent->timers, &request->timer, at_us);
}

/* The request has left the target: frees its slot. */
static void
leave_target(struct GbAgent *agent, struct GbRequest *request)
{
    g_hash_table_remove(agent->works, &request->work_id);
    GbSlots_Stop(&agent->slots, request->work_class);
}

static void
observe(struct GbAgent *agent, const struct GbRequest *request, int64_t now_us)
{
    GbSlots_Observe(&agent->slots, request->work_class,
                    now_us - request->started_us);
}

/* The target has answered. */
static void
note_success(struct GbAgent *agent, int64_t now_us)
{
    if (GbTargetState_Succeeded(&agent->target_state, now_us)) {
        GbSlots_StartRamp(&agent->slots, now_us);
    }
}

static void
refuse_admitted(struct GbAgent *agent, struct GbRequest *request,
                enum GbNotRunReason reason)
{
    GbFlow_ChangeToRefused(request->flow, request->id);
    GbReply_RequestNotRun(agent, request, reason);
    GbDelivery_Remove(agent, request);
}

static void
fail(struct GbAgent *agent, struct GbRequest *request,
     enum GbUnknownReason reason)
{
    leave_target(agent, request);
    request->state = GB_REQUEST_FAILED;
    request->failure = reason;
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_FAILED, 1);
    GbReply_Progress(agent, request);
    set_timer(agent, request,
              GbClock_MonotonicUs(agent->clock) + RETENTION_US);
    GbDelivery_Pump(agent);
}

static void
cancel_and_fail(struct GbAgent *agent, struct GbRequest *request,
                enum GbUnknownReason reason)
{
    agent->port->klass->cancel(agent->port, request->work_id);
    fail(agent, request, reason);
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
start(struct GbAgent *agent, struct GbRequest *request, int64_t now_us)
{
    const struct GbOperation *operation =
        GbService_FindOperation(agent->service, request->operation_id);
    struct GbTargetCall call = {0};

    if (request->flow->created_us >= agent->drain_started_us &&
        GbAgent_IsPastNewFlows(agent, now_us)) {
        GbCounters_Add(agent->counters, GB_COUNTER_DRAIN_REFUSED, 1);
        refuse_admitted(agent, request, GB_NOT_RUN_DRAINING);
        return;
    }

    if (operation == NULL) {
        /* A newer document has dropped the operation while it was queued. */
        refuse_admitted(agent, request, GB_NOT_RUN_UNKNOWN_OPERATION);
        return;
    }
    request->state = GB_REQUEST_RUNNING;
    request->started_us = now_us;
    request->work_id = ++agent->last_work_id;
    g_hash_table_insert(agent->works, &request->work_id, request);
    GbSlots_Start(&agent->slots, request->work_class);
    set_running_timer(agent, request);
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_STARTED, 1);
    call.work_id = request->work_id;
    call.flow_id = request->flow->id;
    call.request_id = request->id;
    call.operation_name = operation->name;
    call.timeout_us = request->deadline_us - now_us;
    call.body.data = request->body;
    call.body.size_bytes = request->body_bytes;
    call.room_bytes = GB_RESPONSE_WINDOW_BYTES;
    agent->port->klass->start_work(agent->port, &call);
    g_free(request->body);
    request->body = NULL;
}

static void
serve_waiters(struct GbAgent *agent, struct GbRequest *request)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < request->pending_fetch_count; i++) {
        const struct GbPendingFetch *waiter = &request->pending_fetches[i];

        if (!GbReply_Data(agent, request, &waiter->path, waiter->offset,
                          waiter->length_bytes) &&
            waiter->offset >= request->response.end &&
            !request->response.is_complete) {
            request->pending_fetches[kept++] = *waiter;
        }
    }
    request->pending_fetch_count = kept;
}

static bool
append(struct GbAgent *agent, struct GbRequest *request, struct GbBytes bytes)
{
    uint32_t before_bytes = request->response.capacity_bytes;
    bool is_taken = GbResponseBuffer_Append(&request->response, bytes);

    agent->answer_bytes += request->response.capacity_bytes - before_bytes;
    return is_taken;
}

static void
acknowledge(struct GbAgent *agent, struct GbRequest *request, uint64_t offset)
{
    uint32_t before_bytes = request->response.capacity_bytes;
    uint32_t dropped =
        GbResponseBuffer_Acknowledge(&request->response, offset);

    if (request->response.capacity_bytes < before_bytes) {
        agent->answer_bytes -= before_bytes - request->response.capacity_bytes;
        GbDelivery_Pump(agent);
    }
    if (dropped > 0 && request->state == GB_REQUEST_RESPONDING) {
        agent->port->klass->extend_window(agent->port, request->work_id,
                                          dropped);
    }
}

void
GbDelivery_Pump(struct GbAgent *agent)
{
    struct GbRequest *request;

    GbSlots_Refresh(&agent->slots, GbClock_MonotonicUs(agent->clock));
    GbReservations_Refresh(&agent->reservations,
                           GbClock_MonotonicUs(agent->clock));
    while (agent->service != NULL &&
           agent->answer_bytes < GB_ANSWERS_BYTES_MAX &&
           (request = GbSlots_Dequeue(&agent->slots)) != NULL) {
        /* Read for each request: a process that was paused wakes up late. */
        int64_t now_us = GbClock_MonotonicUs(agent->clock);

        if (now_us >= request->deadline_us) {
            GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
            refuse_admitted(agent, request, GB_NOT_RUN_DEADLINE);
        }
        else {
            start(agent, request, now_us);
        }
    }
    if (agent->service != NULL) {
        GbHandover_SlotFree(agent);
    }
}

void
GbDelivery_Repeat(struct GbAgent *agent, struct GbRequest *request)
{
    GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_REPEATED, 1);
    if (request->state == GB_REQUEST_RESPONDING ||
        request->state == GB_REQUEST_FINISHED) {
        if (GbReply_Data(agent, request, &request->path,
                         request->response.begin, GB_RANGE_BYTES)) {
            return;
        }
    }
    GbReply_Progress(agent, request);
}

void
GbDelivery_Fetch(struct GbAgent *agent, struct GbRequest *request,
                 const struct GbReturnPath *path,
                 const struct GbFetchFields *fetch)
{
    struct GbPendingFetch waiter = {fetch->offset, fetch->length_bytes, *path};
    int64_t now_us = GbClock_MonotonicUs(agent->clock);

    if (request->state < GB_REQUEST_RESPONDING ||
        request->state == GB_REQUEST_FAILED) {
        GbReply_Progress(agent, request);
        return;
    }
    acknowledge(agent, request, fetch->acknowledged);
    if (request->state == GB_REQUEST_FINISHED) {
        bool is_fetched = request->response.begin == request->response.end;

        set_timer(agent, request,
                  now_us + (is_fetched ? LINGER_US : RETENTION_US));
    }
    else {
        set_timer(agent, request, now_us + STALL_US);
    }
    if (fetch->length_bytes == 0 ||
        GbReply_Data(agent, request, path, fetch->offset,
                     fetch->length_bytes) ||
        fetch->offset < request->response.begin) {
        return;
    }
    if (!request->response.is_complete &&
        !GbRequest_AddPendingFetch(request, &waiter)) {
        GbCounters_Add(agent->counters, GB_COUNTER_FETCHES_DROPPED, 1);
    }
}

void
GbDelivery_Cancel(struct GbAgent *agent, struct GbRequest *request)
{
    if (request->state == GB_REQUEST_QUEUED) {
        GbSlots_Unqueue(&agent->slots, request);
        GbFlow_ChangeToRefused(request->flow, request->id);
        GbDelivery_Remove(agent, request);
    }
    else if (GbRequest_IsAtTarget(request)) {
        cancel_and_fail(agent, request, GB_UNKNOWN_CANCELLED);
    }
}

void
GbDelivery_TimerDue(struct GbAgent *agent, struct GbRequest *request,
                    int64_t now_us)
{
    switch (request->state) {
    case GB_REQUEST_QUEUED:
        GbSlots_Unqueue(&agent->slots, request);
        GbCounters_Add(agent->counters, GB_COUNTER_DEADLINE_REFUSED, 1);
        refuse_admitted(agent, request, GB_NOT_RUN_DEADLINE);
        break;
    case GB_REQUEST_RUNNING:
        if (now_us >= request->deadline_us) {
            /* The work takes at least so long. */
            observe(agent, request, now_us);
            cancel_and_fail(agent, request, GB_UNKNOWN_DEADLINE_PASSED);
            break;
        }
        GbSlots_CountAsLong(&agent->slots);
        request->work_class = GB_CLASS_LONG;
        set_running_timer(agent, request);
        break;
    case GB_REQUEST_RESPONDING:
        cancel_and_fail(agent, request, GB_UNKNOWN_TARGET_FAILED);
        break;
    case GB_REQUEST_FINISHED:
    case GB_REQUEST_FAILED:
        GbDelivery_Remove(agent, request);
        break;
    }
}

void
GbDelivery_Remove(struct GbAgent *agent, struct GbRequest *request)
{
    struct GbFlow *flow = request->flow;

    GbTimerQueue_Clear(&agent->timers, &request->timer);
    flow->requests = g_slist_remove(flow->requests, request);
    agent->answer_bytes -= request->response.capacity_bytes;
    GbRequest_Free(request);
    agent->request_count--;
}

void
GbAgent_TargetAnswered(struct GbAgent *self, uint64_t work_id,
                       uint16_t target_status)
{
    struct GbRequest *request = find_work(self, work_id);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (request == NULL) {
        return;
    }
    note_success(self, now_us);
    request->state = GB_REQUEST_RESPONDING;
    request->response.target_status = target_status;
    set_timer(self, request, now_us + STALL_US);
}

void
GbAgent_TargetSent(struct GbAgent *self, uint64_t work_id,
                   struct GbBytes bytes)
{
    struct GbRequest *request = find_work(self, work_id);
    bool is_first;

    if (request == NULL) {
        return;
    }
    is_first = request->response.end < GB_RANGE_BYTES;
    if (request->response.end + bytes.size_bytes > request->max_answer_bytes ||
        !append(self, request, bytes)) {
        cancel_and_fail(self, request, GB_UNKNOWN_TARGET_FAILED);
        return;
    }
    set_timer(self, request, GbClock_MonotonicUs(self->clock) + STALL_US);
    if (is_first && request->response.end >= GB_RANGE_BYTES) {
        GbReply_Data(self, request, &request->path, 0, GB_RANGE_BYTES);
    }
    serve_waiters(self, request);
}

void
GbAgent_TargetEnded(struct GbAgent *self, uint64_t work_id,
                    enum GbTargetEnd end)
{
    struct GbRequest *request = find_work(self, work_id);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (request == NULL) {
        return;
    }
    switch (end) {
    case GB_TARGET_WHOLE:
        observe(self, request, now_us);
        leave_target(self, request);
        request->state = GB_REQUEST_FINISHED;
        GbResponseBuffer_Complete(&request->response);
        GbCounters_Add(self->counters, GB_COUNTER_REQUESTS_FINISHED, 1);
        if (request->response.end < GB_RANGE_BYTES) {
            GbReply_Data(self, request, &request->path, 0, GB_RANGE_BYTES);
        }
        serve_waiters(self, request);
        set_timer(self, request, now_us + RETENTION_US);
        GbDelivery_Pump(self);
        break;
    case GB_TARGET_NOT_STARTED:
        GbTargetState_NotStarted(&self->target_state, now_us);
        leave_target(self, request);
        refuse_admitted(self, request, GB_NOT_RUN_BUSY);
        GbDelivery_Pump(self);
        break;
    case GB_TARGET_SHED:
        note_success(self, now_us);
        GbSlots_Shed(&self->slots, now_us);
        leave_target(self, request);
        refuse_admitted(self, request, GB_NOT_RUN_SHED);
        GbDelivery_Pump(self);
        break;
    case GB_TARGET_FAILED:
        fail(self, request, GB_UNKNOWN_TARGET_FAILED);
        break;
    }
}
