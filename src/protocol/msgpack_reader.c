#include "protocol/msgpack_reader.h"

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

/* The minimum size of a zone. None of the accepted types needs an
 * allocation. */
#define ZONE_BYTES 64

/* Rejects types that no message uses. Among them are containers, for which
 * msgpack would allocate as many items as their header claims. */
static bool
is_accepted_type(uint8_t type, bool is_number)
{
    if (is_number) {
        return type <= FIXINT_LAST || (type >= UINT8 && type <= UINT64);
    }
    return type == NIL || (type >= BIN8 && type <= BIN32);
}

static bool
read_item(struct GbMsgpackReader *self, bool is_number, msgpack_object *object)
{
    int result;

    if (self->is_malformed || self->items_left == 0 ||
        self->offset_bytes >= self->size_bytes ||
        !is_accepted_type(self->data[self->offset_bytes], is_number)) {
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
read_bytes(struct GbMsgpackReader *self, uint32_t max_bytes,
           bool is_nil_allowed)
{
    struct GbBytes bytes = {NULL, 0};
    msgpack_object object;

    if (!read_item(self, false, &object)) {
        return bytes;
    }
    if (object.type == MSGPACK_OBJECT_NIL) {
        self->is_malformed = !is_nil_allowed;
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
GbMsgpackReader_Init(struct GbMsgpackReader *self, const uint8_t *data,
                     size_t size_bytes)
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
GbMsgpackReader_ReadUint(struct GbMsgpackReader *self, uint64_t max)
{
    msgpack_object object;

    if (!read_item(self, true, &object)) {
        return 0;
    }
    if (object.via.u64 > max) {
        self->is_malformed = true;
        return 0;
    }
    return object.via.u64;
}

struct GbBytes
GbMsgpackReader_ReadBytes(struct GbMsgpackReader *self, uint32_t max_bytes)
{
    return read_bytes(self, max_bytes, false);
}

struct GbBytes
GbMsgpackReader_ReadOptionalBytes(struct GbMsgpackReader *self,
                                  uint32_t max_bytes)
{
    return read_bytes(self, max_bytes, true);
}

bool
GbMsgpackReader_Finish(struct GbMsgpackReader *self)
{
    size_t used_bytes;

    return GbMsgpackReader_FinishArray(self, &used_bytes) &&
           used_bytes == self->size_bytes;
}

bool
GbMsgpackReader_FinishArray(struct GbMsgpackReader *self, size_t *used_bytes)
{
    msgpack_zone_destroy(&self->zone);
    *used_bytes = self->offset_bytes;
    return !self->is_malformed && self->items_left == 0;
}
