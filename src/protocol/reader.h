#ifndef GB_PROTOCOL_READER_H
#define GB_PROTOCOL_READER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/message.h"

/* Decoder of one flat msgpack array of at most 15 unsigned integers, byte
 * strings and nils. The first fault is kept: reads after it give zero values.
 */
struct GbReader {
    const uint8_t *data;
    size_t size_bytes;
    size_t offset_bytes;
    uint32_t items_left;
    bool is_malformed;
    /* msgpack_unpack without a zone leaks 4 KB for each byte string. */
    msgpack_zone zone;
};

void GbReader_Init(struct GbReader *self, const uint8_t *data,
                   size_t size_bytes);

/* Unsigned integer of at most max. */
uint64_t GbReader_Uint(struct GbReader *self, uint64_t max);

/* Byte string of at most max_bytes; it points into the input. */
struct GbBytes GbReader_Bytes(struct GbReader *self, uint32_t max_bytes);

/* As GbReader_Bytes, but nil is allowed and gives data NULL. */
struct GbBytes GbReader_OptionalBytes(struct GbReader *self,
                                      uint32_t max_bytes);

/* Ends the decoding. Returns whether every item was read without fault and
 * nothing follows. */
bool GbReader_Finish(struct GbReader *self);

/* As GbReader_Finish, but more arrays may follow. used_bytes is the size of
 * the one that was read. */
bool GbReader_FinishPart(struct GbReader *self, size_t *used_bytes);

#endif
