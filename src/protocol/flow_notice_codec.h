#ifndef GB_PROTOCOL_FLOW_NOTICE_CODEC_H
#define GB_PROTOCOL_FLOW_NOTICE_CODEC_H

#include <stddef.h>

#include "protocol/status.h"
#include "state/flow_notice.h"

#define GB_FLOW_NOTICE_BYTES_MAX 64

/* Encodes a notice as one msgpack array. Returns the size in bytes, or 0 if
 * the buffer is too small. */
uint32_t GbFlowNoticeCodec_Encode(const struct GbFlowNotice *notice,
                                  uint8_t *buffer, uint32_t capacity_bytes);

/* Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbFlowNoticeCodec_Decode(struct GbFlowNotice *notice,
                                               const uint8_t *data,
                                               size_t size_bytes);

#endif
