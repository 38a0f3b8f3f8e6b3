#include "coordination/calls/call_timer.h"

#include "coordination/calls/call_transfer.h"

/* Unanswered repeats after which an idempotent request goes elsewhere. */
#define REPEATS_BEFORE_MOVE 3

static void
set_repeat(struct GbCall *call, int64_t now_us)
{
    call->repeat_us = now_us + GbCall_BackoffUs(call, call->repeats);
}

static bool
move_after_repeats(struct GbCall *call)
{
    return call->operation->is_idempotent &&
           call->repeats > REPEATS_BEFORE_MOVE && GbCall_Move(call);
}

static void
repeat_submitted(struct GbCall *call, int64_t now_us)
{
    bool is_bound = call->bound_id == GbCall_LatestId(call);

    call->repeats++;
    if (!is_bound && !call->operation->is_idempotent) {
        call->attempt++;
        GbCall_Submit(call);
        return;
    }
    /* Without a token only idempotent requests run, and each of their
     * submissions costs a target work. */
    if (is_bound ? move_after_repeats(call) : GbCall_Move(call)) {
        return;
    }
    GbCall_SendAgain(call);
    set_repeat(call, now_us);
}

static void
repeat_accepted(struct GbCall *call, int64_t now_us)
{
    call->repeats++;
    if (!move_after_repeats(call)) {
        GbCallTransfer_Poll(call);
        set_repeat(call, now_us);
    }
}

/* Returns false if the call has ended. */
static bool
go_on_fetching(struct GbCall *call, int64_t now_us)
{
    if (now_us < call->progress_us + GB_CALL_STALL_US) {
        GbCallTransfer_FetchMore(call);
        return true;
    }
    if (call->operation->is_idempotent && GbCall_Move(call)) {
        return true;
    }
    GbCall_DropToken(call);
    GbCall_EndUnknown(call, 0);
    return false;
}

void
GbCallTimer_Due(struct GbCall *call)
{
    int64_t now_us = GbClock_MonotonicUs(call->caller->clock);

    if (call->state == GB_CALL_FETCHING) {
        if (!go_on_fetching(call, now_us)) {
            return;
        }
    }
    else if (now_us >= call->end_us) {
        /* Its agent is silent: the next call of the session binds anew. */
        GbCall_DropToken(call);
        GbCall_GiveUp(call, 0);
        return;
    }
    else if (call->state == GB_CALL_ACCEPTED) {
        repeat_accepted(call, now_us);
    }
    else {
        repeat_submitted(call, now_us);
    }
    GbCall_SetTimer(call);
}
