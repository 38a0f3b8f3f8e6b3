#ifndef GB_TRANSPORT_PEER_STREAM_H
#define GB_TRANSPORT_PEER_STREAM_H

#include <event2/bufferevent.h>
#include <glib.h>

#include "protocol/frame.h"
#include "state/counters.h"

/* Result of reading a frame from the input buffer. */
enum GbPeerReadResult {
    GB_PEER_READ_INCOMPLETE,
    GB_PEER_READ_FRAME,
    /* The frame is invalid and was counted; the connection must be closed. */
    GB_PEER_READ_INVALID
};

/* Decodes the frame at the start of the input buffer, once it is complete. The
 * frame points into that buffer, which must not be changed while the frame is
 * in use. */
enum GbPeerReadResult GbPeerStream_Read(struct bufferevent *stream,
                                        const struct GbKeys *keys,
                                        uint32_t max_bytes,
                                        struct GbCounters *counters,
                                        struct GbFrame *frame);

/* Encodes a frame. The calling code owns the result. */
GBytes *GbPeerStream_Encode(const struct GbKeys *keys,
                            const struct GbFrame *frame);

/* Queues an encoded frame for sending. Takes its own reference instead of a
 * copy, so that several connections can share one document of 1 MB. */
void GbPeerStream_Write(struct bufferevent *stream, GBytes *encoded);

#endif
