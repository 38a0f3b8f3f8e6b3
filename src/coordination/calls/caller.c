#include "coordination/calls/caller.h"

#include <assert.h>
#include <string.h>

#include "coordination/calls/call.h"
#include "coordination/calls/call_replies.h"
#include "coordination/calls/call_timer.h"

static struct GbCall *
find_call(const struct GbCaller *self, const struct GbMessage *message)
{
    const struct GbCallerFlow *flow =
        g_hash_table_lookup(self->flows, &message->flow_id);

    for (GSList *link = flow != NULL ? flow->calls : NULL; link != NULL;
         link = link->next) {
        if (GbCall_HasSubmission(link->data, message->request_id)) {
            return link->data;
        }
    }
    return NULL;
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
    self->flows = g_hash_table_new(g_int64_hash, g_int64_equal);
    GbRetryBudget_Init(&self->retry_budget,
                       service->limits.retry_budget_percent);
    GbTimerQueue_Init(&self->timers);
}

void
GbCaller_Finish(struct GbCaller *self)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, self->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct GbCallerFlow *flow = value;

        g_slist_free_full(flow->calls, (GDestroyNotify)GbCall_Free);
        flow->calls = NULL;
    }
    g_hash_table_destroy(self->flows);
    GbTimerQueue_Finish(&self->timers);
}

void
GbCaller_OpenFlow(struct GbCaller *self, struct GbCallerFlow *flow)
{
    memset(flow, 0, sizeof(*flow));
    do {
        flow->id = GbRandom_Next(self->random);
    } while (flow->id == 0);
    flow->last_used_us = GbClock_MonotonicUs(self->clock);
}

void
GbCaller_CloseFlow(struct GbCaller *self, struct GbCallerFlow *flow)
{
    struct GbMessage message = {.kind = GB_MESSAGE_CLOSE};

    assert(flow->calls == NULL);
    if (flow->has_token) {
        message.service_id = self->service_id;
        message.flow_id = flow->id;
        message.has_token = true;
        memcpy(message.sealed_token, flow->sealed_token,
               GB_SEALED_TOKEN_BYTES);
        self->port->klass->send(self->port, &message);
    }
}

bool
GbCaller_StartCall(struct GbCaller *self, struct GbCallerFlow *flow,
                   const struct GbOperation *operation, struct GbBytes body,
                   void *context)
{
    struct GbCall *call;

    if (body.size_bytes > GB_CALL_BODY_BYTES_MAX) {
        return false;
    }
    call = GbCall_New(self, flow, operation, body, context);
    self->calls_made++;
    GbRetryBudget_Deposit(&self->retry_budget);
    GbCall_Submit(call);
    GbCall_SetTimer(call);
    return true;
}

void
GbCaller_Receive(struct GbCaller *self, const struct GbMessage *message)
{
    struct GbCall *call = find_call(self, message);

    if (call != NULL && message->service_id == self->service_id) {
        GbCallReplies_Handle(call, message);
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
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbCall *call;

    while ((call = GbTimerQueue_TakeDue(&self->timers, now_us)) != NULL) {
        GbCallTimer_HandleExpiry(call);
    }
}
