#ifndef GB_PROTOCOL_MSGPACK_READER_H
#define GB_PROTOCOL_MSGPACK_READER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/message.h"

/* Decoder of one flat msgpack array of at most 15 unsigned integers, byte
 * strings and nils. After an error is_malformed stays set, and all further
 * reads return zero values. */
struct GbMsgpackReader {
    const uint8_t *data;
    size_t size_bytes;
    size_t offset_bytes;
    uint32_t items_left;
    bool is_malformed;
    /* msgpack_unpack leaks 4 KB for each byte string if it gets no zone. */
    msgpack_zone zone;
};

void GbMsgpackReader_Init(struct GbMsgpackReader *self, const uint8_t *data,
                          size_t size_bytes);

/* Reads an unsigned integer of at most max. */
uint64_t GbMsgpackReader_ReadUint(struct GbMsgpackReader *self, uint64_t max);

/* Reads a byte string of at most max_bytes. The result points into data. */
struct GbBytes GbMsgpackReader_ReadBytes(struct GbMsgpackReader *self,
                                         uint32_t max_bytes);

/* As GbMsgpackReader_ReadBytes, but accepts nil, for which data is NULL. */
struct GbBytes GbMsgpackReader_ReadOptionalBytes(struct GbMsgpackReader *self,
                                                 uint32_t max_bytes);

/* Ends the decoding and releases the memory of the reader. Returns true if all
 * items were read without error and no data follows the array. */
bool GbMsgpackReader_Finish(struct GbMsgpackReader *self);

/* As GbMsgpackReader_Finish, but more data may follow. *used_bytes is the size
 * of the array. */
bool GbMsgpackReader_FinishArray(struct GbMsgpackReader *self,
                                 size_t *used_bytes);

#endif
