#include "coordination/calls/fetch_window.h"

#include <string.h>
#include <xxhash.h>

/* Initial and minimum number of outstanding ranges. */
#define WINDOW_MIN 4

static struct GbFetch *
find_fetch(struct GbFetchWindow *self, uint64_t offset)
{
    for (uint32_t i = 0; i < self->outstanding_count; i++) {
        if (self->fetches[i].offset == offset) {
            return &self->fetches[i];
        }
    }
    return NULL;
}

static void
remove_fetch(struct GbFetchWindow *self, struct GbFetch *fetch)
{
    *fetch = self->fetches[--self->outstanding_count];
}

static void
remove_fetches_beyond_total(struct GbFetchWindow *self)
{
    uint32_t i = 0;

    while (i < self->outstanding_count) {
        if (self->fetches[i].offset >= self->total) {
            remove_fetch(self, &self->fetches[i]);
        }
        else {
            i++;
        }
    }
    self->next_offset = MIN(self->next_offset, self->total);
}

/* Returns true if the fields of a range are consistent with each other and
 * with earlier ranges. */
static bool
is_consistent(const struct GbFetchWindow *self,
              const struct GbDataFields *data)
{
    uint64_t end = data->offset + data->bytes.size_bytes;

    if (data->total == GB_TOTAL_UNKNOWN) {
        return data->bytes.size_bytes > 0 && end <= self->max_bytes;
    }
    return data->total <= self->max_bytes && end <= data->total &&
           (data->bytes.size_bytes > 0 || end == data->total) &&
           (self->total == GB_TOTAL_UNKNOWN || self->total == data->total);
}

static void
store_bytes(struct GbFetchWindow *self, uint64_t offset, struct GbBytes bytes)
{
    uint64_t end = offset + bytes.size_bytes;

    if (self->bytes->len < end) {
        g_byte_array_set_size(self->bytes, (guint)end);
    }
    if (bytes.size_bytes > 0) {
        memcpy(self->bytes->data + offset, bytes.data, bytes.size_bytes);
    }
}

void
GbFetchWindow_Init(struct GbFetchWindow *self, uint64_t max_bytes,
                   int64_t resend_at_us)
{
    memset(self, 0, sizeof(*self));
    self->bytes = g_byte_array_new();
    self->max_bytes = MIN(max_bytes, G_MAXUINT32);
    self->total = GB_TOTAL_UNKNOWN;
    self->window_size = WINDOW_MIN;
    GbFetchWindow_AddFetch(self)->resend_at_us = resend_at_us;
}

void
GbFetchWindow_Finish(struct GbFetchWindow *self)
{
    if (self->bytes != NULL) {
        g_byte_array_free(self->bytes, TRUE);
        self->bytes = NULL;
    }
}

bool
GbFetchWindow_AddRange(struct GbFetchWindow *self,
                       const struct GbDataFields *data)
{
    struct GbFetch *fetch = find_fetch(self, data->offset);
    uint64_t end = data->offset + data->bytes.size_bytes;

    if (fetch == NULL || data->bytes.size_bytes > fetch->length_bytes ||
        !is_consistent(self, data)) {
        return false;
    }
    if (data->total != GB_TOTAL_UNKNOWN) {
        self->total = data->total;
        self->digest = data->digest;
    }
    store_bytes(self, data->offset, data->bytes);
    if (data->bytes.size_bytes == fetch->length_bytes || end == self->total) {
        remove_fetch(self, fetch);
    }
    else {
        /* The range is incomplete because the target had not sent all of it
         * yet. Fetch the rest without delay. */
        fetch->offset = end;
        fetch->length_bytes -= data->bytes.size_bytes;
        fetch->send_count = 0;
        fetch->resend_at_us = 0;
    }
    remove_fetches_beyond_total(self);
    self->window_size = MIN(self->window_size + 1, GB_FETCHES_MAX);
    return true;
}

struct GbFetch *
GbFetchWindow_AddFetch(struct GbFetchWindow *self)
{
    struct GbFetch *fetch;

    if (self->outstanding_count >= self->window_size ||
        self->next_offset >= self->total ||
        self->next_offset >= self->max_bytes) {
        return NULL;
    }
    fetch = &self->fetches[self->outstanding_count++];
    fetch->offset = self->next_offset;
    fetch->length_bytes = GB_RANGE_BYTES_MAX;
    fetch->send_count = 0;
    fetch->resend_at_us = 0;
    self->next_offset += GB_RANGE_BYTES_MAX;
    return fetch;
}

struct GbFetch *
GbFetchWindow_FindDue(struct GbFetchWindow *self, int64_t now_us)
{
    for (uint32_t i = 0; i < self->outstanding_count; i++) {
        if (self->fetches[i].resend_at_us <= now_us) {
            return &self->fetches[i];
        }
    }
    return NULL;
}

void
GbFetchWindow_Shrink(struct GbFetchWindow *self)
{
    self->window_size = MAX(self->window_size / 2, WINDOW_MIN);
}

uint64_t
GbFetchWindow_AcknowledgedOffset(const struct GbFetchWindow *self)
{
    uint64_t lowest = self->next_offset;

    for (uint32_t i = 0; i < self->outstanding_count; i++) {
        lowest = MIN(lowest, self->fetches[i].offset);
    }
    return lowest;
}

int64_t
GbFetchWindow_NextTimerUs(const struct GbFetchWindow *self)
{
    int64_t next_us = GB_TIMER_NEVER;

    for (uint32_t i = 0; i < self->outstanding_count; i++) {
        next_us = MIN(next_us, self->fetches[i].resend_at_us);
    }
    return next_us;
}

bool
GbFetchWindow_IsComplete(const struct GbFetchWindow *self)
{
    return self->total != GB_TOTAL_UNKNOWN && self->outstanding_count == 0 &&
           self->next_offset >= self->total;
}

bool
GbFetchWindow_IsDigestValid(const struct GbFetchWindow *self)
{
    return self->bytes->len == self->total &&
           XXH64(self->bytes->data, self->bytes->len, 0) == self->digest;
}
