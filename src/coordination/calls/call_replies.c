#include "coordination/calls/call_replies.h"

#include <string.h>

#include "coordination/calls/call_transfer.h"

/* Limit on how often a refused request is submitted again. */
#define REFUSALS_MAX 4

static void
store_token(struct GbCall *call, const struct GbMessage *message)
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

/* Cancels another submission of the same request that an agent has accepted
 * as well. */
static void
cancel_other_submission(struct GbCall *call, const struct GbMessage *message)
{
    struct GbMessage cancel;

    GbCall_InitMessage(call, &cancel, GB_MESSAGE_CANCEL, message->request_id);
    cancel.has_token = message->has_token;
    memcpy(cancel.sealed_token, message->sealed_token, GB_SEALED_TOKEN_BYTES);
    GbCall_RemoveSubmission(call, message->request_id);
    call->may_have_run = true;
    GbCall_Send(call, &cancel);
}

/* Returns true if the message belongs to the accepted submission, which is the
 * first one that an agent has accepted. */
static bool
accept_submission(struct GbCall *call, const struct GbMessage *message)
{
    if (call->accepted_submission_id == message->request_id) {
        return true;
    }
    if (call->accepted_submission_id != 0) {
        cancel_other_submission(call, message);
        return false;
    }
    call->accepted_submission_id = message->request_id;
    /* An agent also accepts a submission without a token if the operation is
     * idempotent in the agent's document. */
    call->may_have_run |= call->bound_submission_id != message->request_id;
    call->state = GB_CALL_ACCEPTED;
    call->resend_at_us =
        GbClock_MonotonicUs(call->caller->clock) + GbCall_BackoffUs(call, 1);
    store_token(call, message);
    return true;
}

static bool
is_final_refusal(enum GbNotRunReason reason)
{
    return reason == GB_NOT_RUN_DEADLINE ||
           reason == GB_NOT_RUN_UNKNOWN_OPERATION ||
           reason == GB_NOT_RUN_TOO_LARGE;
}

/* Binds the flow to the agent and submits the request under its token. */
static void
receive_bind(struct GbCall *call, const struct GbMessage *message)
{
    if (call->bound_submission_id == 0 && call->accepted_submission_id == 0) {
        store_token(call, message);
        GbCall_Submit(call);
        GbCall_SetTimer(call);
    }
}

static void
retry_refused(struct GbCall *call, enum GbNotRunReason reason)
{
    call->refusal_count++;
    /* A draining agent does not indicate overload, so a retry for this reason
     * spends no budget. */
    if (!is_final_refusal(reason) && call->refusal_count <= REFUSALS_MAX &&
        (reason == GB_NOT_RUN_DRAINING ||
         GbRetryBudget_Spend(&call->caller->retry_budget))) {
        call->caller->retries_made += reason != GB_NOT_RUN_DRAINING ? 1 : 0;
        call->attempt++;
        GbCall_Submit(call);
        GbCall_SetTimer(call);
    }
    else if (call->operation->is_idempotent && call->submission_count > 0) {
        /* An earlier submission may still get a reply. */
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
    bool was_latest = GbCall_LatestSubmissionId(call) == message->request_id;
    bool was_accepted = call->accepted_submission_id == message->request_id;

    GbCall_RemoveSubmission(call, message->request_id);
    if (call->bound_submission_id == message->request_id) {
        call->bound_submission_id = 0;
        GbCall_DropFlowToken(call);
    }
    else if (call->operation->is_idempotent) {
        /* Only one agent has refused. A duplicate of the unbound CALL may
         * reach another agent, or may have reached it, and run there. */
        call->may_have_run = true;
    }
    if (was_accepted) {
        call->accepted_submission_id = 0;
    }
    /* Otherwise a later submission is pending or has been accepted. */
    if (was_accepted || (was_latest && call->accepted_submission_id == 0)) {
        retry_refused(call, message->not_run);
    }
}

static void
receive_unknown(struct GbCall *call, const struct GbMessage *message)
{
    if (call->accepted_submission_id != message->request_id &&
        GbCall_LatestSubmissionId(call) != message->request_id) {
        return;
    }
    if (call->accepted_submission_id != 0 &&
        call->accepted_submission_id != message->request_id) {
        /* Another agent has accepted the request. */
        GbCall_RemoveSubmission(call, message->request_id);
        call->may_have_run = true;
        return;
    }
    if (message->unknown == GB_UNKNOWN_NO_RECORD) {
        GbCall_DropFlowToken(call);
    }
    if (call->operation->is_idempotent && GbCall_RetryElsewhere(call)) {
        GbCall_SetTimer(call);
    }
    else {
        GbCall_EndUnknown(call, message->unknown);
    }
}

void
GbCallReplies_Handle(struct GbCall *call, const struct GbMessage *message)
{
    switch (message->kind) {
    case GB_MESSAGE_ACCEPTED:
        if (accept_submission(call, message)) {
            call->resend_count = 0;
            GbCall_SetTimer(call);
        }
        break;
    case GB_MESSAGE_DATA:
        if (accept_submission(call, message)) {
            GbCallTransfer_HandleData(call, message);
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
