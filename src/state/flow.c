#include "state/flow.h"

#include <assert.h>

static uint64_t
bit_of(const struct GbFlow *self, uint32_t id)
{
    return UINT64_C(1) << (self->highest_id - id);
}

static void
advance_window(struct GbFlow *self, uint32_t id)
{
    uint32_t distance;

    if (id <= self->highest_id) {
        return;
    }
    distance = id - self->highest_id;
    if (distance >= GB_FLOW_WINDOW_IDS) {
        self->admitted_bits = 0;
        self->refused_bits = 0;
    }
    else {
        self->admitted_bits <<= distance;
        self->refused_bits <<= distance;
    }
    self->highest_id = id;
}

enum GbRequestIdState
GbFlow_RequestIdState(const struct GbFlow *self, uint32_t id)
{
    if (id > self->highest_id) {
        return GB_REQUEST_ID_NEW;
    }
    if (self->highest_id - id >= GB_FLOW_WINDOW_IDS) {
        return GB_REQUEST_ID_TOO_OLD;
    }
    if (self->refused_bits & bit_of(self, id)) {
        return GB_REQUEST_ID_REFUSED;
    }
    return self->admitted_bits & bit_of(self, id) ? GB_REQUEST_ID_ADMITTED
                                                  : GB_REQUEST_ID_NEW;
}

void
GbFlow_MarkAdmitted(struct GbFlow *self, uint32_t id)
{
    assert(GbFlow_RequestIdState(self, id) == GB_REQUEST_ID_NEW);
    advance_window(self, id);
    self->admitted_bits |= bit_of(self, id);
}

void
GbFlow_MarkRefused(struct GbFlow *self, uint32_t id)
{
    assert(GbFlow_RequestIdState(self, id) == GB_REQUEST_ID_NEW);
    advance_window(self, id);
    self->refused_bits |= bit_of(self, id);
}

void
GbFlow_ChangeToRefused(struct GbFlow *self, uint32_t id)
{
    /* An id below the window is too old to run in any case. */
    if (self->highest_id - id < GB_FLOW_WINDOW_IDS) {
        self->refused_bits |= bit_of(self, id);
    }
}

struct GbRequest *
GbFlow_FindRequest(const struct GbFlow *self, uint32_t id)
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
GbFlow_CountOpenRequests(const struct GbFlow *self)
{
    uint32_t count = 0;

    for (const GSList *link = self->requests; link; link = link->next) {
        count += GbRequest_IsOpen(link->data);
    }
    return count;
}
