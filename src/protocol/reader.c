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

/* Nothing that the reader accepts is allocated; this is the least that a zone
 * takes. */
#define ZONE_BYTES 64

/* Leaves out containers, whose headers may claim any number of items that
 * msgpack would allocate, and types that no message uses. */
static bool
is_wanted(uint8_t type, bool is_number)
{
    if (is_number) {
        return type <= FIXINT_LAST || (type >= UINT8 && type <= UINT64);
    }
    return type == NIL || (type >= BIN8 && type <= BIN32);
}

static bool
next_item(struct GbReader *self, bool is_number, msgpack_object *object)
{
    int result;

    if (self->is_malformed || self->items_left == 0 ||
        self->offset_bytes >= self->size_bytes ||
        !is_wanted(self->data[self->offset_bytes], is_number)) {
        self->is_malformed = true;
        return false;
    }
    self->items_left--;
    result = msgpack_unpack((const char *)self->data, self->size_bytes,
                            &self->offset_bytes, &self->zone, object);
    if (result != MSGPACK_UNPACK_SUCCESS &&
        result != MSGPACK_UNPACK_EXTRA_BYTES) {
        self->is_malformed = true;
    }
    return !self->is_malformed;
}

static struct GbBytes
take_bytes(struct GbReader *self, uint32_t max_bytes, bool may_be_nil)
{
    struct GbBytes bytes = {NULL, 0};
    msgpack_object object;

    if (!next_item(self, false, &object)) {
        return bytes;
    }
    if (object.type == MSGPACK_OBJECT_NIL) {
        self->is_malformed = !may_be_nil;
        return bytes;
    }
    if (object.via.bin.size > max_bytes) {
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
    msgpack_zone_init(&self->zone, ZONE_BYTES);
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

    if (!next_item(self, true, &object)) {
        return 0;
    }
    if (object.via.u64 > max) {
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
GbReader_Finish(struct GbReader *self)
{
    size_t used_bytes;

    return GbReader_FinishPart(self, &used_bytes) &&
           used_bytes == self->size_bytes;
}

bool
GbReader_FinishPart(struct GbReader *self, size_t *used_bytes)
{
    msgpack_zone_destroy(&self->zone);
    *used_bytes = self->offset_bytes;
    return !self->is_malformed && self->items_left == 0;
}
