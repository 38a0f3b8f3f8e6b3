#include "coordination/flows/flow_waiting.h"

#include <glib.h>
#include <string.h>

/* Whether a is served before b. */
static bool
is_before(const struct GbFlowOpening *a, const struct GbFlowOpening *b,
          int64_t service_us, int64_t now_us)
{
    enum GbFlowUrgency a_urgency =
        GbFlowOpening_Urgency(a, service_us, now_us);
    enum GbFlowUrgency b_urgency =
        GbFlowOpening_Urgency(b, service_us, now_us);

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
        return a->give_up_us < b->give_up_us;
    }
}

void
GbFlowWaiting_Init(struct GbFlowWaiting *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbFlowWaiting_Finish(struct GbFlowWaiting *self)
{
    g_free(self->items);
    self->items = NULL;
}

struct GbFlowOpening *
GbFlowWaiting_Find(struct GbFlowWaiting *self, const struct GbFlowKey *key)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (GbFlowKey_Equal(&self->items[i].packet.key, key)) {
            return &self->items[i];
        }
    }
    return NULL;
}

bool
GbFlowWaiting_Add(struct GbFlowWaiting *self,
                  const struct GbFlowOpening *opening)
{
    struct GbFlowOpening *item;

    if (self->count == GB_FLOW_WAITING_MAX ||
        opening->packet.size_bytes > GB_FLOW_WAITING_PACKET_BYTES) {
        return false;
    }
    if (self->items == NULL) {
        self->items = g_new(struct GbFlowOpening, GB_FLOW_WAITING_MAX);
    }
    item = &self->items[self->count++];
    *item = *opening;
    memcpy(item->bytes, opening->packet.bytes, opening->packet.size_bytes);
    return true;
}

enum GbFlowUrgency
GbFlowOpening_Urgency(const struct GbFlowOpening *opening, int64_t service_us,
                      int64_t now_us)
{
    int64_t answered_us = now_us + service_us;

    if (answered_us <= opening->goal_us) {
        return GB_FLOW_URGENCY_IN_TIME;
    }
    return answered_us <= opening->expires_us ? GB_FLOW_URGENCY_LATE
                                              : GB_FLOW_URGENCY_EXPIRED;
}

uint32_t
GbFlowWaiting_Ahead(const struct GbFlowWaiting *self,
                    const struct GbFlowOpening *opening, int64_t service_us,
                    int64_t now_us)
{
    uint32_t ahead = 0;

    for (uint32_t i = 0; i < self->count; i++) {
        if (is_before(&self->items[i], opening, service_us, now_us)) {
            ahead++;
        }
    }
    return ahead;
}

struct GbFlowOpening *
GbFlowWaiting_Best(struct GbFlowWaiting *self, int64_t service_us,
                   int64_t now_us)
{
    struct GbFlowOpening *best = NULL;

    for (uint32_t i = 0; i < self->count; i++) {
        if (best == NULL ||
            is_before(&self->items[i], best, service_us, now_us)) {
            best = &self->items[i];
        }
    }
    if (best != NULL) {
        /* The items move when one is removed. */
        best->packet.bytes = best->bytes;
    }
    return best;
}

struct GbFlowOpening *
GbFlowWaiting_Hopeless(struct GbFlowWaiting *self, int64_t service_us,
                       int64_t now_us)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (now_us + service_us > self->items[i].give_up_us) {
            self->items[i].packet.bytes = self->items[i].bytes;
            return &self->items[i];
        }
    }
    return NULL;
}

void
GbFlowWaiting_Remove(struct GbFlowWaiting *self, struct GbFlowOpening *opening)
{
    *opening = self->items[--self->count];
}
