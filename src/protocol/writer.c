#include "protocol/writer.h"

#include <string.h>

static int
append(void *context, const char *data, size_t size_bytes)
{
    struct GbWriter *self = context;

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
GbWriter_Init(struct GbWriter *self, uint8_t *data, uint32_t capacity_bytes)
{
    self->data = data;
    self->capacity_bytes = capacity_bytes;
    self->size_bytes = 0;
    self->is_full = false;
    msgpack_packer_init(&self->packer, self, append);
}

void
GbWriter_PutArray(struct GbWriter *self, uint32_t count)
{
    msgpack_pack_array(&self->packer, count);
}

void
GbWriter_PutUint(struct GbWriter *self, uint64_t value)
{
    msgpack_pack_uint64(&self->packer, value);
}

void
GbWriter_PutNil(struct GbWriter *self)
{
    msgpack_pack_nil(&self->packer);
}

void
GbWriter_PutBytes(struct GbWriter *self, const uint8_t *data,
                  uint32_t size_bytes)
{
    GbWriter_PutBytesHeader(self, size_bytes);
    if (size_bytes > 0) {
        msgpack_pack_bin_body(&self->packer, data, size_bytes);
    }
}

void
GbWriter_PutBytesHeader(struct GbWriter *self, uint32_t size_bytes)
{
    msgpack_pack_bin(&self->packer, size_bytes);
}

uint32_t
GbWriter_Size(const struct GbWriter *self)
{
    return self->is_full ? 0 : self->size_bytes;
}
