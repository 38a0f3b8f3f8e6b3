#include "coordination/calls/call_replies.h"

#include <string.h>

#include "coordination/calls/call_transfer.h"

/* Refusals after which a request is not submitted again. */
#define REFUSALS_MAX 4

static void
adopt_token(struct GbCall *call, const struct GbMessage *message)
{
    struct GbCallerFlow *flow = call->flow;

    if (message->has_token) {
        flow->has_token = true;
        memcpy(flow->sealed_token, message->sealed_token,
               GB_SEALED_TOKEN_BYTES);
        call->has_token = true;
        memcpy(call->sealed_token, message->sealed_token,
               GB_SEALED_TOKEN_BYTES);
    }
}

/* Another agent has taken an earlier submission of the same request. */
static void
cancel_other(struct GbCall *call, const struct GbMessage *message)
{
    struct GbMessage cancel;

    GbCall_FillHead(call, &cancel, GB_MESSAGE_CANCEL, message->request_id);
    cancel.has_token = message->has_token;
    memcpy(cancel.sealed_token, message->sealed_token, GB_SEALED_TOKEN_BYTES);
    GbCall_Forget(call, message->request_id);
    call->may_have_run = true;
    GbCall_Send(call, &cancel);
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
    /* Also without a token, if the agent's document says that the operation is
     * idempotent. */
    call->may_have_run |= call->bound_id != message->request_id;
    call->state = GB_CALL_ACCEPTED;
    call->repeat_us =
        GbClock_MonotonicUs(call->caller->clock) + GbCall_BackoffUs(call, 1);
    adopt_token(call, message);
    return true;
}

static bool
is_final(enum GbNotRunReason reason)
{
    return reason == GB_NOT_RUN_DEADLINE ||
           reason == GB_NOT_RUN_UNKNOWN_OPERATION ||
           reason == GB_NOT_RUN_TOO_LARGE;
}

/* Binds the flow and submits the request under its token. */
static void
receive_bind(struct GbCall *call, const struct GbMessage *message)
{
    if (call->bound_id == 0 && call->accepted_id == 0) {
        adopt_token(call, message);
        GbCall_Submit(call);
        GbCall_SetTimer(call);
    }
}

static void
submit_refused_again(struct GbCall *call, enum GbNotRunReason reason)
{
    call->refusals++;
    /* A leaving target is no sign of overload. */
    if (!is_final(reason) && call->refusals <= REFUSALS_MAX &&
        (reason == GB_NOT_RUN_DRAINING ||
         GbRetryBudget_Spend(&call->caller->retry_budget))) {
        call->caller->retries_made += reason != GB_NOT_RUN_DRAINING ? 1 : 0;
        call->attempt++;
        GbCall_Submit(call);
        GbCall_SetTimer(call);
    }
    else if (call->operation->is_idempotent && call->submission_count > 0) {
        /* An earlier submission may still be answered. */
        call->state = GB_CALL_SUBMITTED;
        GbCall_SetTimer(call);
    }
    else {
        GbCall_GiveUp(call, reason);
    }
}

static void
receive_not_run(struct GbCall *call, const struct GbMessage *message)
{
    bool was_latest = GbCall_LatestId(call) == message->request_id;
    bool was_accepted = call->accepted_id == message->request_id;

    GbCall_Forget(call, message->request_id);
    if (call->bound_id == message->request_id) {
        call->bound_id = 0;
        GbCall_DropToken(call);
    }
    else if (call->operation->is_idempotent) {
        /* The refusal is one agent's: a duplicate of an unbound CALL may have
         * reached another one, or may yet, and run there. */
        call->may_have_run = true;
    }
    if (was_accepted) {
        call->accepted_id = 0;
    }
    /* Otherwise a later submission is on its way or has been taken. */
    if (was_accepted || (was_latest && call->accepted_id == 0)) {
        submit_refused_again(call, message->not_run);
    }
}

static void
receive_unknown(struct GbCall *call, const struct GbMessage *message)
{
    if (call->accepted_id != message->request_id &&
        GbCall_LatestId(call) != message->request_id) {
        return;
    }
    if (call->accepted_id != 0 && call->accepted_id != message->request_id) {
        /* The answer is coming from another agent. */
        GbCall_Forget(call, message->request_id);
        call->may_have_run = true;
        return;
    }
    if (message->unknown == GB_UNKNOWN_NO_RECORD) {
        GbCall_DropToken(call);
    }
    if (call->operation->is_idempotent && GbCall_Move(call)) {
        GbCall_SetTimer(call);
    }
    else {
        GbCall_EndUnknown(call, message->unknown);
    }
}

void
GbCallReplies_Receive(struct GbCall *call, const struct GbMessage *message)
{
    switch (message->kind) {
    case GB_MESSAGE_ACCEPTED:
        if (accept(call, message)) {
            call->repeats = 0;
            GbCall_SetTimer(call);
        }
        break;
    case GB_MESSAGE_DATA:
        if (accept(call, message)) {
            GbCallTransfer_Receive(call, message);
        }
        break;
    case GB_MESSAGE_NOT_RUN:
        if (message->not_run == GB_NOT_RUN_BIND) {
            receive_bind(call, message);
        }
        else {
            receive_not_run(call, message);
        }
        break;
    case GB_MESSAGE_UNKNOWN:
        receive_unknown(call, message);
        break;
    default:
        break;
    }
}
