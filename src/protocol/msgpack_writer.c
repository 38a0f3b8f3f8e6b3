#include "protocol/msgpack_writer.h"

#include <string.h>

static int
append_bytes(void *context, const char *data, size_t size_bytes)
{
    struct GbMsgpackWriter *self = context;

    if (self->is_full ||
        size_bytes > self->capacity_bytes - self->size_bytes) {
        self->is_full = true;
        return -1;
    }
    memcpy(self->data + self->size_bytes, data, size_bytes);
    self->size_bytes += (uint32_t)size_bytes;
    return 0;
}

void
GbMsgpackWriter_Init(struct GbMsgpackWriter *self, uint8_t *data,
                     uint32_t capacity_bytes)
{
    self->data = data;
    self->capacity_bytes = capacity_bytes;
    self->size_bytes = 0;
    self->is_full = false;
    msgpack_packer_init(&self->packer, self, append_bytes);
}

void
GbMsgpackWriter_WriteArrayHeader(struct GbMsgpackWriter *self, uint32_t count)
{
    msgpack_pack_array(&self->packer, count);
}

void
GbMsgpackWriter_WriteUint(struct GbMsgpackWriter *self, uint64_t value)
{
    msgpack_pack_uint64(&self->packer, value);
}

void
GbMsgpackWriter_WriteNil(struct GbMsgpackWriter *self)
{
    msgpack_pack_nil(&self->packer);
}

void
GbMsgpackWriter_WriteBytes(struct GbMsgpackWriter *self, const uint8_t *data,
                           uint32_t size_bytes)
{
    GbMsgpackWriter_WriteBytesHeader(self, size_bytes);
    if (size_bytes > 0) {
        msgpack_pack_bin_body(&self->packer, data, size_bytes);
    }
}

void
GbMsgpackWriter_WriteBytesHeader(struct GbMsgpackWriter *self,
                                 uint32_t size_bytes)
{
    msgpack_pack_bin(&self->packer, size_bytes);
}

uint32_t
GbMsgpackWriter_Size(const struct GbMsgpackWriter *self)
{
    return self->is_full ? 0 : self->size_bytes;
}
