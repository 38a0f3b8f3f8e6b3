#ifndef GB_PROTOCOL_MSGPACK_WRITER_H
#define GB_PROTOCOL_MSGPACK_WRITER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* msgpack encoder that writes into a buffer of fixed size. */
struct GbMsgpackWriter {
    uint8_t *data;
    uint32_t capacity_bytes;
    uint32_t size_bytes;
    /* Set once an item did not fit. */
    bool is_full;
    msgpack_packer packer;
};

void GbMsgpackWriter_Init(struct GbMsgpackWriter *self, uint8_t *data,
                          uint32_t capacity_bytes);

void GbMsgpackWriter_WriteArrayHeader(struct GbMsgpackWriter *self,
                                      uint32_t count);
void GbMsgpackWriter_WriteUint(struct GbMsgpackWriter *self, uint64_t value);
void GbMsgpackWriter_WriteNil(struct GbMsgpackWriter *self);
void GbMsgpackWriter_WriteBytes(struct GbMsgpackWriter *self,
                                const uint8_t *data, uint32_t size_bytes);

/* Writes only the header of a byte string. The caller sends the bytes. */
void GbMsgpackWriter_WriteBytesHeader(struct GbMsgpackWriter *self,
                                      uint32_t size_bytes);

/* Returns the size of the encoding in bytes, or 0 if the buffer was too
 * small. */
uint32_t GbMsgpackWriter_Size(const struct GbMsgpackWriter *self);

#endif
