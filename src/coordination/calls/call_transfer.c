#include "coordination/calls/call_transfer.h"

static int64_t
now(const struct GbCall *call)
{
    return GbClock_MonotonicUs(call->caller->clock);
}

static void
send_fetch(struct GbCall *call, struct GbFetch *fetch)
{
    struct GbMessage message;

    GbCall_InitMessage(call, &message, GB_MESSAGE_FETCH,
                       call->accepted_submission_id);
    message.fetch.acknowledged =
        GbFetchWindow_AcknowledgedOffset(&call->window);
    message.fetch.offset = fetch->offset;
    message.fetch.length_bytes = fetch->length_bytes;
    fetch->resend_at_us =
        now(call) + GbCall_BackoffUs(call, fetch->send_count);
    fetch->send_count++;
    GbCall_Send(call, &message);
}

/* Acknowledges the whole response, so that the agent can free it. */
static void
acknowledge_all(struct GbCall *call)
{
    struct GbMessage message;

    GbCall_InitMessage(call, &message, GB_MESSAGE_FETCH,
                       call->accepted_submission_id);
    message.fetch.acknowledged = call->window.total;
    message.fetch.offset = call->window.total;
    GbCall_Send(call, &message);
}

static void
start_transfer(struct GbCall *call, uint16_t target_status)
{
    call->state = GB_CALL_FETCHING;
    call->target_status = target_status;
    /* The time before was spent in the queue and at the target. */
    call->last_progress_us = now(call);
    GbFetchWindow_Init(&call->window, call->operation->max_answer_bytes,
                       now(call) + GbCall_BackoffUs(call, 0));
}

void
GbCallTransfer_HandleData(struct GbCall *call, const struct GbMessage *data)
{
    if (call->state != GB_CALL_FETCHING) {
        start_transfer(call, data->data.target_status);
    }
    if (GbFetchWindow_AddRange(&call->window, &data->data)) {
        call->last_progress_us = now(call);
    }
    if (!GbFetchWindow_IsComplete(&call->window)) {
        GbCallTransfer_SendFetches(call);
        GbCall_SetTimer(call);
    }
    else if (GbFetchWindow_IsDigestValid(&call->window)) {
        acknowledge_all(call);
        GbCall_EndAnswered(call);
    }
    else {
        GbCall_EndUnknown(call, GB_UNKNOWN_TARGET_FAILED);
    }
}

void
GbCallTransfer_SendFetches(struct GbCall *call)
{
    int64_t now_us = now(call);
    struct GbFetch *fetch;

    while ((fetch = GbFetchWindow_FindDue(&call->window, now_us)) != NULL) {
        if (fetch->send_count > 0) {
            GbFetchWindow_Shrink(&call->window);
        }
        send_fetch(call, fetch);
    }
    while ((fetch = GbFetchWindow_AddFetch(&call->window)) != NULL) {
        send_fetch(call, fetch);
    }
}

void
GbCallTransfer_PollResponse(struct GbCall *call)
{
    struct GbMessage message;

    GbCall_InitMessage(call, &message, GB_MESSAGE_FETCH,
                       call->accepted_submission_id);
    message.fetch.length_bytes = GB_RANGE_BYTES_MAX;
    GbCall_Send(call, &message);
}
