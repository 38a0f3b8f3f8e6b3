#include "state/response_buffer.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define RING_START_BYTES 256

static void
copy_out(const struct GbResponseBuffer *self, uint64_t offset, uint8_t *buffer,
         uint32_t size_bytes)
{
    uint32_t at = (uint32_t)(offset & (self->capacity_bytes - 1));
    uint32_t first = MIN(size_bytes, self->capacity_bytes - at);

    memcpy(buffer, self->ring + at, first);
    memcpy(buffer + first, self->ring, size_bytes - first);
}

static void
copy_in(struct GbResponseBuffer *self, uint64_t offset, const uint8_t *data,
        uint32_t size_bytes)
{
    uint32_t at = (uint32_t)(offset & (self->capacity_bytes - 1));
    uint32_t first = MIN(size_bytes, self->capacity_bytes - at);

    memcpy(self->ring + at, data, first);
    memcpy(self->ring, data + first, size_bytes - first);
}

static void
grow(struct GbResponseBuffer *self, uint32_t needed_bytes)
{
    uint32_t held = (uint32_t)(self->end - self->begin);
    uint32_t capacity = MAX(self->capacity_bytes, RING_START_BYTES);
    struct GbResponseBuffer old = *self;

    while (capacity < needed_bytes) {
        capacity *= 2;
    }
    if (capacity == self->capacity_bytes) {
        return;
    }
    self->ring = g_malloc(capacity);
    self->capacity_bytes = capacity;
    if (held > 0) {
        uint8_t *linear = g_malloc(held);

        copy_out(&old, old.begin, linear, held);
        copy_in(self, self->begin, linear, held);
        g_free(linear);
    }
    g_free(old.ring);
}

void
GbResponseBuffer_Init(struct GbResponseBuffer *self)
{
    memset(self, 0, sizeof(*self));
    self->hash = XXH64_createState();
    XXH64_reset(self->hash, 0);
}

void
GbResponseBuffer_Finish(struct GbResponseBuffer *self)
{
    XXH64_freeState(self->hash);
    g_free(self->ring);
    memset(self, 0, sizeof(*self));
}

uint32_t
GbResponseBuffer_FreeBytes(const struct GbResponseBuffer *self)
{
    return GB_RESPONSE_WINDOW_BYTES - (uint32_t)(self->end - self->begin);
}

bool
GbResponseBuffer_Append(struct GbResponseBuffer *self, struct GbBytes bytes)
{
    assert(!self->is_complete);
    if (bytes.size_bytes > GbResponseBuffer_FreeBytes(self)) {
        return false;
    }
    if (bytes.size_bytes == 0) {
        return true;
    }
    grow(self, (uint32_t)(self->end - self->begin) + bytes.size_bytes);
    copy_in(self, self->end, bytes.data, bytes.size_bytes);
    XXH64_update(self->hash, bytes.data, bytes.size_bytes);
    self->end += bytes.size_bytes;
    return true;
}

void
GbResponseBuffer_Complete(struct GbResponseBuffer *self)
{
    self->is_complete = true;
    self->digest = XXH64_digest(self->hash);
}

uint32_t
GbResponseBuffer_Acknowledge(struct GbResponseBuffer *self, uint64_t offset)
{
    uint32_t dropped;

    if (offset <= self->begin) {
        return 0;
    }
    offset = MIN(offset, self->end);
    dropped = (uint32_t)(offset - self->begin);
    self->begin = offset;
    if (self->is_complete && self->begin == self->end) {
        g_free(self->ring);
        self->ring = NULL;
        self->capacity_bytes = 0;
    }
    return dropped;
}

uint32_t
GbResponseBuffer_Read(const struct GbResponseBuffer *self, uint64_t offset,
                      uint32_t length_bytes, uint8_t *buffer)
{
    uint32_t size_bytes;

    if (offset < self->begin || offset >= self->end) {
        return 0;
    }
    size_bytes = (uint32_t)MIN(length_bytes, self->end - offset);
    copy_out(self, offset, buffer, size_bytes);
    return size_bytes;
}

uint64_t
GbResponseBuffer_Total(const struct GbResponseBuffer *self)
{
    return self->is_complete ? self->end : GB_TOTAL_UNKNOWN;
}
