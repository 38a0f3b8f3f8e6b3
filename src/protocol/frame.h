#ifndef GB_PROTOCOL_FRAME_H
#define GB_PROTOCOL_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/document.h"

#define GB_FRAME_LENGTH_BYTES 4
/* Upper bound of the size of a frame without its document. */
#define GB_FRAME_OVERHEAD_BYTES 64
#define GB_FRAME_BYTES_MAX (GB_DOCUMENT_BYTES_MAX + GB_FRAME_OVERHEAD_BYTES)

enum GbFrameKind {
    /* Requests a document that is higher than head. */
    GB_FRAME_PULL = 1,
    /* Contains a document. */
    GB_FRAME_DOCUMENT,
    /* The sender has no higher document; head is its highest. */
    GB_FRAME_NO_DOCUMENT,
    GB_FRAME_KIND_END
};

/* Frame that processes exchange over TCP: the length of a msgpack array as 4
 * bytes in big-endian order, the array, and its authentication tag. */
struct GbFrame {
    enum GbFrameKind kind;
    struct GbDocumentHead head;
    /* Only for GB_FRAME_DOCUMENT. Points into the decoded data. */
    struct GbBytes document;
};

/* Encodes a frame. Returns its size in bytes, or 0 if the buffer is too
 * small. */
uint32_t GbFrame_Encode(const struct GbFrame *frame, const struct GbKeys *keys,
                        uint8_t *buffer, uint32_t capacity_bytes);

/* Reads the size of a whole frame from its first bytes. *size_bytes is 0 while
 * the length has not arrived completely.
 *
 * Errors: GB_PROTOCOL_TOO_LARGE if the frame exceeds max_bytes. */
enum GbProtocolStatus GbFrame_ReadSize(const uint8_t *data,
                                       size_t available_bytes,
                                       uint32_t max_bytes,
                                       uint32_t *size_bytes);

/* Decodes one complete frame.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_FRAME. */
enum GbProtocolStatus GbFrame_Decode(struct GbFrame *frame,
                                     const struct GbKeys *keys,
                                     const uint8_t *data, size_t size_bytes);

#endif
