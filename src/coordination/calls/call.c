#include "coordination/calls/call.h"

#include <assert.h>
#include <string.h>

#define US_PER_MS 1000
#define RESEND_START_US INT64_C(100000)
#define RESEND_MAX_US INT64_C(1000000)
/* Added to the deadline for the round trip to the agent. */
#define ROUND_TRIP_US INT64_C(1000000)
#define JITTER_DIVISOR 4
/* Transfers that one call may restart from the beginning. The retry budget
 * alone does not limit them, because other calls refill it. */
#define RESTARTS_MAX 3

static int64_t
now(const struct GbCall *self)
{
    return GbClock_MonotonicUs(self->caller->clock);
}

static int64_t
timeout_at(const struct GbCall *self, int64_t start_us)
{
    return start_us + (int64_t)self->operation->deadline_ms * US_PER_MS +
           ROUND_TRIP_US;
}

static void
end_call(struct GbCall *self, struct GbCallerResult *result)
{
    struct GbCaller *caller = self->caller;
    struct GbCallerFlow *flow = self->flow;

    result->elapsed_us = now(self) - self->started_us;
    result->submissions = self->submissions_made;
    flow->calls = g_slist_remove(flow->calls, self);
    if (flow->calls == NULL) {
        g_hash_table_remove(caller->flows, &flow->id);
    }
    self->flow = NULL;
    GbTimerQueue_Clear(&caller->timers, &self->timer);
    /* The program may free the flow during this call. */
    caller->port->klass->deliver(caller->port, self->context, result);
    GbCall_Free(self);
}

/* Cancels the accepted submission at its agent, because the request goes to
 * another one. */
static void
cancel_accepted(struct GbCall *self)
{
    struct GbMessage cancel;

    GbCall_InitMessage(self, &cancel, GB_MESSAGE_CANCEL,
                       self->accepted_submission_id);
    GbCall_Send(self, &cancel);
    GbCall_RemoveSubmission(self, self->accepted_submission_id);
    self->accepted_submission_id = 0;
    self->may_have_run = true;
}

struct GbCall *
GbCall_New(struct GbCaller *caller, struct GbCallerFlow *flow,
           const struct GbOperation *operation, struct GbBytes body,
           void *context)
{
    struct GbCall *self = g_new0(struct GbCall, 1);

    self->caller = caller;
    self->flow = flow;
    self->operation = operation;
    self->context = context;
    self->body = g_memdup2(body.data, body.size_bytes);
    self->body_bytes = body.size_bytes;
    self->started_us = now(self);
    self->timeout_at_us = timeout_at(self, self->started_us);
    self->last_progress_us = self->started_us;
    GbTimer_Init(&self->timer, self);
    if (flow->calls == NULL) {
        g_hash_table_insert(caller->flows, &flow->id, flow);
    }
    flow->calls = g_slist_prepend(flow->calls, self);
    return self;
}

void
GbCall_Free(struct GbCall *self)
{
    GbFetchWindow_Finish(&self->window);
    g_free(self->body);
    g_free(self);
}

int64_t
GbCall_BackoffUs(struct GbCall *self, uint32_t resend_count)
{
    int64_t delay_us =
        MIN(RESEND_START_US << MIN(resend_count, 4U), RESEND_MAX_US);

    return delay_us -
           (int64_t)GbRandom_Below(self->caller->random,
                                   (uint32_t)delay_us / JITTER_DIVISOR);
}

void
GbCall_InitMessage(const struct GbCall *self, struct GbMessage *message,
                   enum GbMessageKind kind, uint32_t request_id)
{
    memset(message, 0, sizeof(*message));
    message->kind = kind;
    message->service_id = self->caller->service_id;
    message->flow_id = self->flow->id;
    message->request_id = request_id;
    message->has_token = self->has_token;
    memcpy(message->sealed_token, self->sealed_token, GB_SEALED_TOKEN_BYTES);
}

void
GbCall_Send(struct GbCall *self, const struct GbMessage *message)
{
    self->caller->port->klass->send(self->caller->port, message);
}

uint32_t
GbCall_LatestSubmissionId(const struct GbCall *self)
{
    return self->submission_count > 0
               ? self->submissions[self->submission_count - 1]
               : 0;
}

bool
GbCall_HasSubmission(const struct GbCall *self, uint32_t request_id)
{
    for (uint32_t i = 0; i < self->submission_count; i++) {
        if (self->submissions[i] == request_id) {
            return true;
        }
    }
    return false;
}

void
GbCall_RemoveSubmission(struct GbCall *self, uint32_t request_id)
{
    for (uint32_t i = 0; i < self->submission_count; i++) {
        if (self->submissions[i] == request_id) {
            memmove(&self->submissions[i], &self->submissions[i + 1],
                    (self->submission_count - i - 1) *
                        sizeof(self->submissions[0]));
            self->submission_count--;
            return;
        }
    }
}

void
GbCall_Submit(struct GbCall *self)
{
    struct GbCallerFlow *flow = self->flow;
    int64_t now_us = now(self);

    if (flow->has_token && now_us - flow->last_used_us >= GB_TOKEN_IDLE_US) {
        flow->has_token = false;
    }
    flow->last_used_us = now_us;
    if (self->submission_count == GB_CALL_SUBMISSIONS_MAX) {
        GbCall_RemoveSubmission(self, self->submissions[0]);
        self->may_have_run |= self->operation->is_idempotent;
    }
    self->submissions[self->submission_count++] = ++flow->last_request_id;
    self->submissions_made++;
    self->has_token = flow->has_token;
    memcpy(self->sealed_token, flow->sealed_token, GB_SEALED_TOKEN_BYTES);
    if (self->has_token) {
        self->bound_submission_id = GbCall_LatestSubmissionId(self);
    }
    self->state = GB_CALL_SUBMITTED;
    self->resend_count = 0;
    self->resend_at_us = now_us + GbCall_BackoffUs(self, 0);
    GbCall_SendSubmission(self);
}

void
GbCall_SendSubmission(struct GbCall *self)
{
    struct GbMessage message;

    GbCall_InitMessage(self, &message, GB_MESSAGE_CALL,
                       GbCall_LatestSubmissionId(self));
    message.attempt = self->attempt;
    message.call.operation_id = self->operation->id;
    message.call.body.data = self->body;
    message.call.body.size_bytes = self->body_bytes;
    self->caller->submissions_made++;
    GbCall_Send(self, &message);
}

bool
GbCall_RetryElsewhere(struct GbCall *self)
{
    assert(self->operation->is_idempotent);
    if ((self->state == GB_CALL_FETCHING &&
         self->restart_count == RESTARTS_MAX) ||
        !GbRetryBudget_Spend(&self->caller->retry_budget)) {
        return false;
    }
    self->caller->retries_made++;
    if (self->state == GB_CALL_FETCHING) {
        self->restart_count++;
        self->timeout_at_us = timeout_at(self, now(self));
    }
    if (self->accepted_submission_id != 0) {
        cancel_accepted(self);
    }
    GbCall_DropFlowToken(self);
    self->bound_submission_id = 0;
    self->attempt++;
    GbFetchWindow_Finish(&self->window);
    GbCall_Submit(self);
    return true;
}

void
GbCall_DropFlowToken(struct GbCall *self)
{
    struct GbCallerFlow *flow = self->flow;

    if (self->has_token && flow->has_token &&
        memcmp(flow->sealed_token, self->sealed_token,
               GB_SEALED_TOKEN_BYTES) == 0) {
        flow->has_token = false;
    }
}

void
GbCall_SetTimer(struct GbCall *self)
{
    int64_t at_us = MIN(self->timeout_at_us, self->resend_at_us);

    if (self->state == GB_CALL_FETCHING) {
        at_us = MIN(self->last_progress_us + GB_CALL_STALL_TIMEOUT_US,
                    GbFetchWindow_NextTimerUs(&self->window));
    }
    GbTimerQueue_Set(&self->caller->timers, &self->timer, at_us);
}

void
GbCall_EndAnswered(struct GbCall *self)
{
    struct GbCallerResult result = {.outcome = GB_OUTCOME_ANSWERED};

    result.target_status = self->target_status;
    result.response.data = self->window.bytes->data;
    result.response.size_bytes = self->window.bytes->len;
    end_call(self, &result);
}

void
GbCall_EndUnknown(struct GbCall *self, enum GbUnknownReason reason)
{
    struct GbCallerResult result = {.outcome = GB_OUTCOME_UNKNOWN};

    result.unknown_reason = reason;
    end_call(self, &result);
}

void
GbCall_GiveUp(struct GbCall *self, enum GbNotRunReason reason)
{
    bool may_have_run =
        self->may_have_run ||
        (self->operation->is_idempotent ? self->submission_count > 0
                                        : self->bound_submission_id != 0);
    struct GbCallerResult result = {
        .outcome = may_have_run ? GB_OUTCOME_UNKNOWN : GB_OUTCOME_NOT_RUN};

    result.not_run_reason = reason;
    end_call(self, &result);
}
