#ifndef GB_PROTOCOL_FRAME_H
#define GB_PROTOCOL_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/document.h"

#define GB_FRAME_LENGTH_BYTES 4
/* Everything in a frame that is not the document. */
#define GB_FRAME_OVERHEAD_BYTES 64
#define GB_FRAME_BYTES_MAX (GB_DOCUMENT_BYTES_MAX + GB_FRAME_OVERHEAD_BYTES)

enum GbFrameKind {
    /* Asks for a document that is higher than the one named. */
    GB_FRAME_PULL = 1,
    /* Carries a document. */
    GB_FRAME_DOCUMENT,
    /* There is none; names the highest that the sender has. */
    GB_FRAME_NOTHING,
    GB_FRAME_KIND_END
};

/* Frame of the TCP exchange between processes: a 4-byte length (big-endian)
 * of the msgpack array, the array, and its keyed hash. */
struct GbFrame {
    enum GbFrameKind kind;
    struct GbDocumentHead head;
    /* Only for a document; points into what the frame was decoded from. */
    struct GbBytes document;
};

/* Encodes a frame. Returns its size, or 0 if it does not fit. */
uint32_t GbFrame_Encode(const struct GbFrame *frame, const struct GbKeys *keys,
                        uint8_t *buffer, uint32_t capacity_bytes);

/* Reads the size of a whole frame from its first bytes. size is 0 while too
 * few have arrived.
 *
 * Errors: GB_PROTOCOL_TOO_LARGE if the frame exceeds max_bytes. */
enum GbProtocolStatus GbFrame_Size(const uint8_t *data, size_t available_bytes,
                                   uint32_t max_bytes, uint32_t *size_bytes);

/* Decodes one whole frame.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_FRAME. */
enum GbProtocolStatus GbFrame_Decode(struct GbFrame *frame,
                                     const struct GbKeys *keys,
                                     const uint8_t *data, size_t size_bytes);

#endif
