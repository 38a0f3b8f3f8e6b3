#include "state/flow.h"

#include <assert.h>

static uint64_t
bit_of(const struct GbFlow *self, uint32_t id)
{
    return UINT64_C(1) << (self->highest_id - id);
}

static void
advance_to(struct GbFlow *self, uint32_t id)
{
    uint32_t distance;

    if (id <= self->highest_id) {
        return;
    }
    distance = id - self->highest_id;
    if (distance >= GB_FLOW_WINDOW_IDS) {
        self->seen_bits = 0;
        self->refused_bits = 0;
    }
    else {
        self->seen_bits <<= distance;
        self->refused_bits <<= distance;
    }
    self->highest_id = id;
}

enum GbRequestMark
GbFlow_Mark(const struct GbFlow *self, uint32_t id)
{
    if (id > self->highest_id) {
        return GB_MARK_NEW;
    }
    if (self->highest_id - id >= GB_FLOW_WINDOW_IDS) {
        return GB_MARK_TOO_OLD;
    }
    if (self->refused_bits & bit_of(self, id)) {
        return GB_MARK_REFUSED;
    }
    return self->seen_bits & bit_of(self, id) ? GB_MARK_SEEN : GB_MARK_NEW;
}

void
GbFlow_SetSeen(struct GbFlow *self, uint32_t id)
{
    assert(GbFlow_Mark(self, id) == GB_MARK_NEW);
    advance_to(self, id);
    self->seen_bits |= bit_of(self, id);
}

void
GbFlow_SetRefused(struct GbFlow *self, uint32_t id)
{
    assert(GbFlow_Mark(self, id) == GB_MARK_NEW);
    advance_to(self, id);
    self->refused_bits |= bit_of(self, id);
}

void
GbFlow_TurnRefused(struct GbFlow *self, uint32_t id)
{
    /* An id that has left the window is too old to run in any case. */
    if (self->highest_id - id < GB_FLOW_WINDOW_IDS) {
        self->refused_bits |= bit_of(self, id);
    }
}

struct GbRequest *
GbFlow_Request(const struct GbFlow *self, uint32_t id)
{
    for (const GSList *link = self->requests; link; link = link->next) {
        struct GbRequest *request = link->data;

        if (request->id == id) {
            return request;
        }
    }
    return NULL;
}

uint32_t
GbFlow_OpenRequests(const struct GbFlow *self)
{
    uint32_t count = 0;

    for (const GSList *link = self->requests; link; link = link->next) {
        count += GbRequest_IsOpen(link->data);
    }
    return count;
}
