#ifndef GB_PROTOCOL_CODEC_H
#define GB_PROTOCOL_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/message.h"

/* Encodes a message as one msgpack array. keys seal the token; with NULL the
 * sealed bytes that the message carries are sent as they are, which is what
 * callers do. Returns the size, or 0 if it does not fit. */
uint32_t GbCodec_Encode(const struct GbMessage *message,
                        const struct GbKeys *keys, uint8_t *buffer,
                        uint32_t capacity_bytes);

/* Decodes a message. keys open the token; with NULL it is only copied. The
 * message points into data.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_TOKEN,
 * GB_PROTOCOL_FORGED_PATH. */
enum GbProtocolStatus GbCodec_Decode(struct GbMessage *message,
                                     const struct GbKeys *keys,
                                     const uint8_t *data, size_t size_bytes);

#endif
