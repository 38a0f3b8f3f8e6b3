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

    GbCall_FillHead(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.acknowledged = GbFetchWindow_Acknowledged(&call->window);
    message.fetch.offset = fetch->offset;
    message.fetch.length_bytes = fetch->length_bytes;
    fetch->repeat_us = now(call) + GbCall_BackoffUs(call, fetch->tries);
    fetch->tries++;
    GbCall_Send(call, &message);
}

/* Lets the agent drop the answer. */
static void
acknowledge_all(struct GbCall *call)
{
    struct GbMessage message;

    GbCall_FillHead(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.acknowledged = call->window.total;
    message.fetch.offset = call->window.total;
    GbCall_Send(call, &message);
}

static void
begin(struct GbCall *call, uint16_t target_status)
{
    call->state = GB_CALL_FETCHING;
    call->target_status = target_status;
    /* The time until here was spent on queue and target. */
    call->progress_us = now(call);
    GbFetchWindow_Init(&call->window, call->operation->max_answer_bytes,
                       now(call) + GbCall_BackoffUs(call, 0));
}

void
GbCallTransfer_Receive(struct GbCall *call, const struct GbMessage *data)
{
    if (call->state != GB_CALL_FETCHING) {
        begin(call, data->data.target_status);
    }
    if (GbFetchWindow_Take(&call->window, &data->data)) {
        call->progress_us = now(call);
    }
    if (!GbFetchWindow_IsComplete(&call->window)) {
        GbCallTransfer_FetchMore(call);
        GbCall_SetTimer(call);
    }
    else if (GbFetchWindow_IsGenuine(&call->window)) {
        acknowledge_all(call);
        GbCall_EndAnswered(call);
    }
    else {
        GbCall_EndUnknown(call, GB_UNKNOWN_TARGET_FAILED);
    }
}

void
GbCallTransfer_FetchMore(struct GbCall *call)
{
    int64_t now_us = now(call);
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

void
GbCallTransfer_Poll(struct GbCall *call)
{
    struct GbMessage message;

    GbCall_FillHead(call, &message, GB_MESSAGE_FETCH, call->accepted_id);
    message.fetch.length_bytes = GB_RANGE_BYTES;
    GbCall_Send(call, &message);
}
