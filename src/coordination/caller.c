#include "coordination/caller.h"

#include <assert.h>
#include <string.h>

#define US_PER_MS 1000
#define REPEAT_START_US INT64_C(100000)
#define REPEAT_MAX_US INT64_C(1000000)
/* Unanswered repeats after which an idempotent request goes elsewhere. */
#define REPEATS_BEFORE_MOVE 3
/* Refusals after which a request is not submitted again. */
#define REFUSALS_MAX 4
/* Added to the deadline for the way there and back. */
#define GRACE_US INT64_C(1000000)
/* Time without progress after which a transfer is given up. */
#define STALL_US INT64_C(10000000)
/* An agent keeps idle flows for 300 s. */
#define FLOW_IDLE_US INT64_C(120000000)
#define JITTER_DIVISOR 4

static int64_t
now(const struct GbCaller *self)
{
    return GbClock_MonotonicUs(self->clock);
}

/* Doubles with each repeat, less a random quarter at most. */
static int64_t
backoff_us(struct GbCaller *self, uint32_t repeats)
{
    int64_t delay_us = MIN(REPEAT_START_US << MIN(repeats, 4U), REPEAT_MAX_US);

    return delay_us - (int64_t)GbRandom_Below(
                          self->random, (uint32_t)delay_us / JITTER_DIVISOR);
}

static void
fill_head(const struct GbCall *call, struct GbMessage *message,
          enum GbMessageKind kind, uint32_t request_id)
{
    memset(message, 0, sizeof(*message));
    message->kind = kind;
    message->service_id = call->caller->service_id;
    message->flow_id = call->flow->id;
    message->request_id = request_id;
    message->has_token = call->flow->has_token;
    memcpy(message->sealed_token, call->flow->sealed_token,
           GB_SEALED_TOKEN_BYTES);
}

static void
send(struct GbCaller *self, const struct GbMessage *message)
{
    self->port->klass->send(self->port, message);
}

static uint32_t
latest_id(const struct GbCall *call)
{
    return call->submissions[call->submission_count - 1];
}

static bool
is_submission(const struct GbCall *call, uint32_t request_id)
{
    for (uint32_t i = 0; i < call->submission_count; i++) {
        if (call->submissions[i] == request_id) {
            return true;
        }
    }
    return false;
}

static void
forget_submission(struct GbCall *call, uint32_t request_id)
{
    for (uint32_t i = 0; i < call->submission_count; i++) {
        if (call->submissions[i] == request_id) {
            memmove(&call->submissions[i], &call->submissions[i + 1],
                    (call->submission_count - i - 1) *
                        sizeof(call->submissions[0]));
            call->submission_count--;
            return;
        }
    }
}

static void
send_call(struct GbCall *call)
{
    struct GbMessage message;

    fill_head(call, &message, GB_MESSAGE_CALL, latest_id(call));
    message.attempt = call->attempt;
    message.call.operation_id = call->operation->id;
    message.call.body.data = call->body;
    message.call.body.size_bytes = call->body_bytes;
    call->caller->submissions_made++;
    send(call->caller, &message);
}

static void
submit(struct GbCall *call)
{
    struct GbCallerFlow *flow = call->flow;
    int64_t now_us = now(call->caller);

    if (flow->has_token && now_us - flow->last_used_us >= FLOW_IDLE_US) {
        flow->has_token = false;
    }
    flow->last_used_us = now_us;
    if (call->submission_count == GB_SUBMISSIONS_MAX) {
        forget_submission(call, call->submissions[0]);
    }
    call->submissions[call->submission_count++] = ++flow->last_request_id;
    call->submissions_made++;
    if (flow->has_token) {
        call->bound_id = latest_id(call);
    }
    call->state = GB_CALL_SUBMITTED;
    call->repeats = 0;
    call->repeat_us = now_us + backoff_us(call->caller, 0);
    send_call(call);
}

static void
set_timer(struct GbCall *call)
{
    int64_t at_us = call->started_us +
                    (int64_t)call->operation->deadline_ms * US_PER_MS +
                    GRACE_US;

    if (call->state == GB_CALL_FETCHING) {
        at_us = MIN(call->progress_us + STALL_US,
                    GbFetchWindow_NextTimerUs(&call->window));
    }
    else {
        at_us = MIN(at_us, call->repeat_us);
    }
    GbTimerQueue_Set(&call->caller->timers, &call->timer, at_us);
}

static void
finish_call(struct GbCall *call, struct GbResult *result)
{
    struct GbCaller *self = call->caller;

    result->elapsed_us = now(self) - call->started_us;
    result->submissions = call->submissions_made;
    call->flow->open_calls--;
    g_hash_table_remove(self->calls, call);
    GbTimerQueue_Clear(&self->timers, &call->timer);
    self->port->klass->deliver(self->port, call->context, result);
    GbFetchWindow_Finish(&call->window);
    g_free(call->body);
    g_free(call);
}

static void
finish_not_run(struct GbCall *call, enum GbNotRunReason reason)
{
    struct GbResult result = {.outcome = GB_OUTCOME_NOT_RUN};

    result.not_run = reason;
    finish_call(call, &result);
}

static void
finish_unknown(struct GbCall *call, enum GbUnknownReason reason)
{
    struct GbResult result = {.outcome = GB_OUTCOME_UNKNOWN};

    result.unknown = reason;
    finish_call(call, &result);
}

/* Ends a call that nothing more can be done for. Only a request that was
 * never submitted under a token, or was refused under it, did not run. */
static void
give_up(struct GbCall *call, enum GbNotRunReason reason,
        enum GbUnknownReason unknown)
{
    bool may_have_run = call->operation->is_idempotent
                            ? call->submission_count > 0
                            : call->bound_id != 0;

    if (may_have_run) {
        finish_unknown(call, unknown);
    }
    else {
        finish_not_run(call, reason);
    }
}

/* Submits an idempotent request elsewhere. Returns false without budget. */
static bool
move(struct GbCall *call)
{
    assert(call->operation->is_idempotent);
    if (!GbRetryBudget_Spend(&call->caller->budget)) {
        return false;
    }
    call->caller->retries_made++;
    call->flow->has_token = false;
    call->bound_id = 0;
    call->accepted_id = 0;
    call->attempt++;
    GbFetchWindow_Finish(&call->window);
    submit(call);
    return true;
}

static void
adopt_token(struct GbCall *call, const struct GbMessage *message)
{
    if (message->has_token) {
        call->flow->has_token = true;
        memcpy(call->flow->sealed_token, message->sealed_token,
               GB_SEALED_TOKEN_BYTES);
    }
}

/* Another agent has taken an earlier submission of the same request. */
static void
cancel_other(struct GbCall *call, const struct GbMessage *message)
{
    struct GbMessage cancel;

    fill_head(call, &cancel, GB_MESSAGE_CANCEL, message->request_id);
    cancel.has_token = message->has_token;
    memcpy(cancel.sealed_token, message->sealed_token, GB_SEALED_TOKEN_BYTES);
    forget_submission(call, message->request_id);
    send(call->caller, &cancel);
}

/* Returns whether the message is about the submission that counts. */
static bool
accept(struct GbCall *call, const struct GbMessage *message)
{
    if (call->accepted_id == message->request_id) {
        return true;
    }
    if (call->accepted_id != 0) {
        cancel_other(call, message);
        return false;
    }
    call->accepted_id = message->request_id;
    call->state = GB_CALL_ACCEPTED;
    call->repeats = 0;
    call->repeat_us = now(call->caller) + backoff_us(call->caller, 1);
    adopt_token(call, message);
    return true;
}

static void
send_fetch(struct GbCall *call, struct GbFetch *fetch)
{
    struct GbMessage message;

    fill_head(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.acknowledged = GbFetchWindow_Acknowledged(&call->window);
    message.fetch.offset = fetch->offset;
    message.fetch.length_bytes = fetch->length_bytes;
    fetch->repeat_us =
        now(call->caller) + backoff_us(call->caller, fetch->tries);
    fetch->tries++;
    send(call->caller, &message);
}

/* Asks whether the answer has begun. */
static void
send_poll(struct GbCall *call)
{
    struct GbMessage message;

    fill_head(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.length_bytes = GB_RANGE_BYTES;
    send(call->caller, &message);
}

static void
finish_answered(struct GbCall *call)
{
    struct GbResult result = {.outcome = GB_OUTCOME_ANSWERED};
    struct GbMessage message;

    /* The agent can drop the answer. */
    fill_head(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.acknowledged = call->window.total;
    message.fetch.offset = call->window.total;
    send(call->caller, &message);
    result.target_status = call->target_status;
    result.answer.data = call->window.bytes->data;
    result.answer.size_bytes = call->window.bytes->len;
    finish_call(call, &result);
}

static void
fetch_more(struct GbCall *call)
{
    int64_t now_us = now(call->caller);
    struct GbFetch *fetch;

    while ((fetch = GbFetchWindow_Due(&call->window, now_us)) != NULL) {
        if (fetch->tries > 0) {
            GbFetchWindow_Shrink(&call->window);
        }
        send_fetch(call, fetch);
    }
    while ((fetch = GbFetchWindow_Next(&call->window)) != NULL) {
        send_fetch(call, fetch);
    }
}

static void
receive_data(struct GbCall *call, const struct GbMessage *message)
{
    if (!accept(call, message)) {
        return;
    }
    if (call->state != GB_CALL_FETCHING) {
        call->state = GB_CALL_FETCHING;
        call->target_status = message->data.target_status;
        GbFetchWindow_Init(&call->window, call->operation->max_answer_bytes,
                           now(call->caller) + backoff_us(call->caller, 0));
    }
    if (GbFetchWindow_Take(&call->window, &message->data)) {
        call->progress_us = now(call->caller);
    }
    if (!GbFetchWindow_IsComplete(&call->window)) {
        fetch_more(call);
        set_timer(call);
    }
    else if (GbFetchWindow_IsGenuine(&call->window)) {
        finish_answered(call);
    }
    else {
        finish_unknown(call, GB_UNKNOWN_TARGET_FAILED);
    }
}

static bool
is_final(enum GbNotRunReason reason)
{
    return reason == GB_NOT_RUN_DEADLINE ||
           reason == GB_NOT_RUN_UNKNOWN_OPERATION ||
           reason == GB_NOT_RUN_TOO_LARGE;
}

static void
receive_not_run(struct GbCall *call, const struct GbMessage *message)
{
    bool was_latest = latest_id(call) == message->request_id;
    bool was_bound = call->bound_id == message->request_id;
    enum GbNotRunReason reason = message->not_run;

    if (reason == GB_NOT_RUN_BIND) {
        if (call->bound_id != 0 || call->accepted_id != 0) {
            return;
        }
        adopt_token(call, message);
        submit(call);
        set_timer(call);
        return;
    }
    forget_submission(call, message->request_id);
    if (was_bound) {
        call->bound_id = 0;
        call->flow->has_token = false;
    }
    if (call->accepted_id == message->request_id) {
        call->accepted_id = 0;
    }
    else if (!was_latest || call->accepted_id != 0) {
        /* A later submission is on its way or has been taken. */
        return;
    }
    call->refusals++;
    if (is_final(reason) || call->refusals > REFUSALS_MAX ||
        (reason != GB_NOT_RUN_DRAINING &&
         !GbRetryBudget_Spend(&call->caller->budget))) {
        give_up(call, reason, 0);
        return;
    }
    if (reason != GB_NOT_RUN_DRAINING) {
        call->caller->retries_made++;
    }
    call->attempt++;
    submit(call);
    set_timer(call);
}

static void
receive_unknown(struct GbCall *call, const struct GbMessage *message)
{
    if (call->accepted_id != message->request_id &&
        latest_id(call) != message->request_id) {
        return;
    }
    if (message->unknown == GB_UNKNOWN_NO_RECORD) {
        call->flow->has_token = false;
    }
    if (call->operation->is_idempotent && move(call)) {
        set_timer(call);
        return;
    }
    finish_unknown(call, message->unknown);
}

static struct GbCall *
find_call(const struct GbCaller *self, const struct GbMessage *message)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, self->calls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct GbCall *call = key;

        if (call->flow->id == message->flow_id &&
            is_submission(call, message->request_id)) {
            return call;
        }
    }
    return NULL;
}

static void
repeat_submitted(struct GbCall *call)
{
    bool is_bound = call->bound_id == latest_id(call);

    call->repeats++;
    if (!is_bound) {
        /* Without a token only idempotent requests run, and each of their
         * submissions costs a target work. */
        if (!call->operation->is_idempotent) {
            call->attempt++;
            submit(call);
            return;
        }
        if (move(call)) {
            return;
        }
    }
    else if (call->operation->is_idempotent &&
             call->repeats > REPEATS_BEFORE_MOVE && move(call)) {
        return;
    }
    send_call(call);
    call->repeat_us =
        now(call->caller) + backoff_us(call->caller, call->repeats);
}

static void
repeat_accepted(struct GbCall *call)
{
    call->repeats++;
    if (call->operation->is_idempotent &&
        call->repeats > REPEATS_BEFORE_MOVE && move(call)) {
        return;
    }
    send_poll(call);
    call->repeat_us =
        now(call->caller) + backoff_us(call->caller, call->repeats);
}

static void
timer_due(struct GbCall *call, int64_t now_us)
{
    int64_t end_us = call->started_us +
                     (int64_t)call->operation->deadline_ms * US_PER_MS +
                     GRACE_US;

    if (call->state == GB_CALL_FETCHING) {
        if (now_us >= call->progress_us + STALL_US &&
            !(call->operation->is_idempotent && move(call))) {
            finish_unknown(call, 0);
            return;
        }
        if (call->state == GB_CALL_FETCHING) {
            fetch_more(call);
        }
    }
    else if (now_us >= end_us) {
        give_up(call, 0, 0);
        return;
    }
    else if (call->state == GB_CALL_ACCEPTED) {
        repeat_accepted(call);
    }
    else {
        repeat_submitted(call);
    }
    set_timer(call);
}

void
GbCaller_Init(struct GbCaller *self, const struct GbService *service,
              struct GbCallerPort *port, struct GbClock *clock,
              struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    self->port = port;
    self->clock = clock;
    self->random = random;
    self->service_id = service->id;
    self->calls = g_hash_table_new(NULL, NULL);
    GbRetryBudget_Init(&self->budget, service->limits.retry_budget_percent);
    GbTimerQueue_Init(&self->timers);
}

void
GbCaller_Finish(struct GbCaller *self)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, self->calls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct GbCall *call = key;

        GbFetchWindow_Finish(&call->window);
        g_free(call->body);
        g_free(call);
    }
    g_hash_table_destroy(self->calls);
    GbTimerQueue_Finish(&self->timers);
}

void
GbCaller_OpenFlow(struct GbCaller *self, struct GbCallerFlow *flow)
{
    memset(flow, 0, sizeof(*flow));
    do {
        flow->id = GbRandom_Next(self->random);
    } while (flow->id == 0);
    flow->last_used_us = now(self);
}

void
GbCaller_CloseFlow(struct GbCaller *self, struct GbCallerFlow *flow)
{
    struct GbMessage message = {.kind = GB_MESSAGE_CLOSE};

    assert(flow->open_calls == 0);
    if (flow->has_token) {
        message.service_id = self->service_id;
        message.flow_id = flow->id;
        message.has_token = true;
        memcpy(message.sealed_token, flow->sealed_token,
               GB_SEALED_TOKEN_BYTES);
        send(self, &message);
    }
}

bool
GbCaller_Call(struct GbCaller *self, struct GbCallerFlow *flow,
              const struct GbOperation *operation, struct GbBytes body,
              void *context)
{
    struct GbCall *call;

    if (body.size_bytes > GB_CALL_BODY_BYTES) {
        return false;
    }
    call = g_new0(struct GbCall, 1);
    call->caller = self;
    call->flow = flow;
    call->operation = operation;
    call->context = context;
    call->body = g_memdup2(body.data, body.size_bytes);
    call->body_bytes = body.size_bytes;
    call->started_us = now(self);
    call->progress_us = call->started_us;
    GbTimer_Init(&call->timer, call);
    g_hash_table_add(self->calls, call);
    flow->open_calls++;
    self->calls_made++;
    GbRetryBudget_Earn(&self->budget);
    submit(call);
    set_timer(call);
    return true;
}

void
GbCaller_Receive(struct GbCaller *self, const struct GbMessage *message)
{
    struct GbCall *call = find_call(self, message);

    if (call == NULL || message->service_id != self->service_id) {
        return;
    }
    switch (message->kind) {
    case GB_MESSAGE_ACCEPTED:
        if (accept(call, message)) {
            call->repeats = 0;
            set_timer(call);
        }
        break;
    case GB_MESSAGE_DATA:
        receive_data(call, message);
        break;
    case GB_MESSAGE_NOT_RUN:
        receive_not_run(call, message);
        break;
    case GB_MESSAGE_UNKNOWN:
        receive_unknown(call, message);
        break;
    default:
        break;
    }
}

int64_t
GbCaller_NextTimerUs(const struct GbCaller *self)
{
    return GbTimerQueue_NextUs(&self->timers);
}

void
GbCaller_Tick(struct GbCaller *self)
{
    int64_t now_us = now(self);
    struct GbCall *call;

    while ((call = GbTimerQueue_TakeDue(&self->timers, now_us)) != NULL) {
        timer_due(call, now_us);
    }
}
