#include "protocol/reader.h"

#include <string.h>

/* Type bytes of the msgpack specification. */
#define FIXINT_LAST 0x7f
#define FIXARRAY_FIRST 0x90
#define FIXARRAY_LAST 0x9f
#define NIL 0xc0
#define BIN8 0xc4
#define BIN32 0xc6
#define UINT8 0xcc
#define UINT64 0xcf

static void
fail(struct GbReader *self)
{
    self->is_malformed = true;
}

/* Type byte of the next item; NIL after a fault. */
static uint8_t
next_type(struct GbReader *self)
{
    if (self->is_malformed || self->items_left == 0 ||
        self->offset_bytes >= self->size_bytes) {
        fail(self);
        return NIL;
    }
    self->items_left--;
    return self->data[self->offset_bytes++];
}

/* Big-endian number of 1, 2, 4 or 8 bytes. */
static uint64_t
next_number(struct GbReader *self, size_t number_bytes)
{
    uint64_t value = 0;

    if (self->size_bytes - self->offset_bytes < number_bytes) {
        fail(self);
        return 0;
    }
    for (size_t i = 0; i < number_bytes; i++) {
        value = value << 8 | self->data[self->offset_bytes++];
    }
    return value;
}

static struct GbBytes
take_bytes(struct GbReader *self, uint32_t max_bytes, bool may_be_nil)
{
    struct GbBytes bytes = {NULL, 0};
    uint8_t type = next_type(self);
    uint64_t size_bytes;

    if (type < BIN8 || type > BIN32) {
        if (type != NIL || !may_be_nil) {
            fail(self);
        }
        return bytes;
    }
    size_bytes = next_number(self, (size_t)1 << (type - BIN8));
    if (self->is_malformed || size_bytes > max_bytes ||
        size_bytes > self->size_bytes - self->offset_bytes) {
        fail(self);
        return bytes;
    }
    bytes.data = self->data + self->offset_bytes;
    bytes.size_bytes = (uint32_t)size_bytes;
    self->offset_bytes += size_bytes;
    return bytes;
}

void
GbReader_Init(struct GbReader *self, const uint8_t *data, size_t size_bytes)
{
    memset(self, 0, sizeof(*self));
    self->data = data;
    self->size_bytes = size_bytes;
    if (size_bytes == 0 || data[0] < FIXARRAY_FIRST ||
        data[0] > FIXARRAY_LAST) {
        self->is_malformed = true;
        return;
    }
    self->items_left = data[0] - FIXARRAY_FIRST;
    self->offset_bytes = 1;
}

uint64_t
GbReader_Uint(struct GbReader *self, uint64_t max)
{
    uint8_t type = next_type(self);
    uint64_t value = type;

    if (type > FIXINT_LAST) {
        if (type < UINT8 || type > UINT64) {
            fail(self);
            return 0;
        }
        value = next_number(self, (size_t)1 << (type - UINT8));
    }
    if (self->is_malformed || value > max) {
        fail(self);
        return 0;
    }
    return value;
}

struct GbBytes
GbReader_Bytes(struct GbReader *self, uint32_t max_bytes)
{
    return take_bytes(self, max_bytes, false);
}

struct GbBytes
GbReader_OptionalBytes(struct GbReader *self, uint32_t max_bytes)
{
    return take_bytes(self, max_bytes, true);
}

bool
GbReader_IsComplete(const struct GbReader *self)
{
    return !self->is_malformed && self->items_left == 0 &&
           self->offset_bytes == self->size_bytes;
}
