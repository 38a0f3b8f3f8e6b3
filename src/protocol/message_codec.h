#ifndef GB_PROTOCOL_MESSAGE_CODEC_H
#define GB_PROTOCOL_MESSAGE_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/message.h"

/* Encodes a message as one msgpack array. The token is sealed with keys. If
 * keys is NULL, as for callers, sealed_token of the message is copied
 * unchanged. Returns the size in bytes, or 0 if the buffer is too small. */
uint32_t GbMessageCodec_Encode(const struct GbMessage *message,
                               const struct GbKeys *keys, uint8_t *buffer,
                               uint32_t capacity_bytes);

/* Decodes a message, whose byte fields then point into data. The token is
 * verified and opened with keys. If keys is NULL, it is only copied to
 * sealed_token.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_TOKEN. */
enum GbProtocolStatus GbMessageCodec_Decode(struct GbMessage *message,
                                            const struct GbKeys *keys,
                                            const uint8_t *data,
                                            size_t size_bytes);

#endif
