#include "coordination/flows/flow_queue.h"

#include <glib.h>
#include <string.h>

/* Returns true if a is served before b. */
static bool
precedes(const struct GbPendingFlow *a, const struct GbPendingFlow *b,
         int64_t service_us, int64_t now_us)
{
    enum GbFlowUrgency a_urgency =
        GbPendingFlow_Urgency(a, service_us, now_us);
    enum GbFlowUrgency b_urgency =
        GbPendingFlow_Urgency(b, service_us, now_us);

    if (a_urgency != b_urgency) {
        return a_urgency < b_urgency;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    switch (a_urgency) {
    case GB_FLOW_URGENCY_IN_TIME:
        return a->goal_us < b->goal_us;
    case GB_FLOW_URGENCY_LATE:
        return a->expires_us < b->expires_us;
    default:
        return a->client_timeout_us < b->client_timeout_us;
    }
}

void
GbFlowQueue_Init(struct GbFlowQueue *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbFlowQueue_Finish(struct GbFlowQueue *self)
{
    g_free(self->items);
    self->items = NULL;
}

struct GbPendingFlow *
GbFlowQueue_Find(struct GbFlowQueue *self, const struct GbFlowKey *key)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (GbFlowKey_Equal(&self->items[i].packet.key, key)) {
            return &self->items[i];
        }
    }
    return NULL;
}

bool
GbFlowQueue_Add(struct GbFlowQueue *self, const struct GbPendingFlow *pending)
{
    struct GbPendingFlow *item;

    if (self->count == GB_FLOW_QUEUE_MAX ||
        pending->packet.size_bytes > GB_FLOW_QUEUE_PACKET_BYTES) {
        return false;
    }
    if (self->items == NULL) {
        self->items = g_new(struct GbPendingFlow, GB_FLOW_QUEUE_MAX);
    }
    item = &self->items[self->count++];
    *item = *pending;
    memcpy(item->bytes, pending->packet.bytes, pending->packet.size_bytes);
    return true;
}

enum GbFlowUrgency
GbPendingFlow_Urgency(const struct GbPendingFlow *pending, int64_t service_us,
                      int64_t now_us)
{
    int64_t response_us = now_us + service_us;

    if (response_us <= pending->goal_us) {
        return GB_FLOW_URGENCY_IN_TIME;
    }
    return response_us <= pending->expires_us ? GB_FLOW_URGENCY_LATE
                                              : GB_FLOW_URGENCY_EXPIRED;
}

uint32_t
GbFlowQueue_CountAhead(const struct GbFlowQueue *self,
                       const struct GbPendingFlow *pending, int64_t service_us,
                       int64_t now_us)
{
    uint32_t ahead = 0;

    for (uint32_t i = 0; i < self->count; i++) {
        if (precedes(&self->items[i], pending, service_us, now_us)) {
            ahead++;
        }
    }
    return ahead;
}

struct GbPendingFlow *
GbFlowQueue_Next(struct GbFlowQueue *self, int64_t service_us, int64_t now_us)
{
    struct GbPendingFlow *best = NULL;

    for (uint32_t i = 0; i < self->count; i++) {
        if (best == NULL ||
            precedes(&self->items[i], best, service_us, now_us)) {
            best = &self->items[i];
        }
    }
    if (best != NULL) {
        /* The item may have moved when another one was removed. */
        best->packet.bytes = best->bytes;
    }
    return best;
}

struct GbPendingFlow *
GbFlowQueue_FindUnservable(struct GbFlowQueue *self, int64_t service_us,
                           uint32_t limit, int64_t now_us)
{
    struct GbPendingFlow *last = NULL;
    int64_t response_us = now_us + service_us;

    for (uint32_t i = 0; i < self->count; i++) {
        struct GbPendingFlow *item = &self->items[i];

        item->packet.bytes = item->bytes;
        if (response_us > item->client_timeout_us) {
            return item;
        }
        if (last == NULL || precedes(last, item, service_us, now_us)) {
            last = item;
        }
    }
    if (last == NULL) {
        return NULL;
    }
    /* Flows that arrived later may be served before the last one. */
    response_us += (self->count - 1) * service_us / limit;
    return response_us > last->client_timeout_us ? last : NULL;
}

void
GbFlowQueue_Remove(struct GbFlowQueue *self, struct GbPendingFlow *pending)
{
    *pending = self->items[--self->count];
}
