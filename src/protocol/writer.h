#ifndef GB_PROTOCOL_WRITER_H
#define GB_PROTOCOL_WRITER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* msgpack encoder into a buffer of fixed size. */
struct GbWriter {
    uint8_t *data;
    uint32_t capacity_bytes;
    uint32_t size_bytes;
    bool is_full;
    msgpack_packer packer;
};

void GbWriter_Init(struct GbWriter *self, uint8_t *data,
                   uint32_t capacity_bytes);

void GbWriter_PutArray(struct GbWriter *self, uint32_t count);
void GbWriter_PutUint(struct GbWriter *self, uint64_t value);
void GbWriter_PutNil(struct GbWriter *self);
void GbWriter_PutBytes(struct GbWriter *self, const uint8_t *data,
                       uint32_t size_bytes);

/* Writes the header of a byte string whose bytes the caller sends itself. */
void GbWriter_PutBytesHeader(struct GbWriter *self, uint32_t size_bytes);

/* Size of the encoding; 0 if it did not fit. */
uint32_t GbWriter_Size(const struct GbWriter *self);

#endif
