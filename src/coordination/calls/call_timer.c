#include "coordination/calls/call_timer.h"

#include "coordination/calls/call_transfer.h"

/* Resends without a reply after which an idempotent request is submitted to
 * another agent. */
#define RESENDS_BEFORE_RETRY 3

static void
set_resend_time(struct GbCall *call, int64_t now_us)
{
    call->resend_at_us = now_us + GbCall_BackoffUs(call, call->resend_count);
}

static bool
retry_after_resends(struct GbCall *call)
{
    return call->operation->is_idempotent &&
           call->resend_count > RESENDS_BEFORE_RETRY &&
           GbCall_RetryElsewhere(call);
}

static void
resend_submitted(struct GbCall *call, int64_t now_us)
{
    bool is_bound =
        call->bound_submission_id == GbCall_LatestSubmissionId(call);

    call->resend_count++;
    if (!is_bound && !call->operation->is_idempotent) {
        call->attempt++;
        GbCall_Submit(call);
        return;
    }
    /* Without a token only idempotent requests run. Each of their submissions
     * may run at a target, so that it counts against the retry budget. */
    if (is_bound ? retry_after_resends(call) : GbCall_RetryElsewhere(call)) {
        return;
    }
    GbCall_SendSubmission(call);
    set_resend_time(call, now_us);
}

static void
poll_accepted(struct GbCall *call, int64_t now_us)
{
    call->resend_count++;
    if (!retry_after_resends(call)) {
        GbCallTransfer_PollResponse(call);
        set_resend_time(call, now_us);
    }
}

/* Returns false if the call has ended. */
static bool
continue_fetching(struct GbCall *call, int64_t now_us)
{
    if (now_us < call->last_progress_us + GB_CALL_STALL_TIMEOUT_US) {
        GbCallTransfer_SendFetches(call);
        return true;
    }
    if (call->operation->is_idempotent && GbCall_RetryElsewhere(call)) {
        return true;
    }
    GbCall_DropFlowToken(call);
    GbCall_EndUnknown(call, 0);
    return false;
}

void
GbCallTimer_HandleExpiry(struct GbCall *call)
{
    int64_t now_us = GbClock_MonotonicUs(call->caller->clock);

    if (call->state == GB_CALL_FETCHING) {
        if (!continue_fetching(call, now_us)) {
            return;
        }
    }
    else if (now_us >= call->timeout_at_us) {
        /* The agent does not reply, so the next call of the flow binds to
         * another one. */
        GbCall_DropFlowToken(call);
        GbCall_GiveUp(call, 0);
        return;
    }
    else if (call->state == GB_CALL_ACCEPTED) {
        poll_accepted(call, now_us);
    }
    else {
        resend_submitted(call, now_us);
    }
    GbCall_SetTimer(call);
}
