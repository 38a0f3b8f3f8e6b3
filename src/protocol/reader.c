#include "protocol/reader.h"

#include <msgpack.h>
#include <string.h>

/* Type bytes of the msgpack specification. */
#define FIXARRAY_FIRST 0x90
#define FIXARRAY_LAST 0x9f
#define FIXMAP_FIRST 0x80
#define ARRAY16 0xdc
#define MAP32 0xdf

static bool
is_container(uint8_t type)
{
    return (type >= FIXMAP_FIRST && type <= FIXARRAY_LAST) ||
           (type >= ARRAY16 && type <= MAP32);
}

static bool
next_item(struct GbReader *self, msgpack_object *object)
{
    if (self->is_malformed || self->items_left == 0 ||
        self->offset_bytes >= self->size_bytes ||
        is_container(self->data[self->offset_bytes])) {
        self->is_malformed = true;
        return false;
    }
    self->items_left--;
    switch (msgpack_unpack((const char *)self->data, self->size_bytes,
                           &self->offset_bytes, NULL, object)) {
    case MSGPACK_UNPACK_SUCCESS:
    case MSGPACK_UNPACK_EXTRA_BYTES:
        return true;
    default:
        self->is_malformed = true;
        return false;
    }
}

static struct GbBytes
take_bytes(struct GbReader *self, uint32_t max_bytes, bool may_be_nil)
{
    struct GbBytes bytes = {NULL, 0};
    msgpack_object object;

    if (!next_item(self, &object) ||
        (may_be_nil && object.type == MSGPACK_OBJECT_NIL)) {
        return bytes;
    }
    if (object.type != MSGPACK_OBJECT_BIN || object.via.bin.size > max_bytes) {
        self->is_malformed = true;
        return bytes;
    }
    bytes.data = (const uint8_t *)object.via.bin.ptr;
    bytes.size_bytes = object.via.bin.size;
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
    msgpack_object object;

    if (!next_item(self, &object)) {
        return 0;
    }
    if (object.type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object.via.u64 > max) {
        self->is_malformed = true;
        return 0;
    }
    return object.via.u64;
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
