#ifndef GB_TRANSPORT_PEER_STREAM_H
#define GB_TRANSPORT_PEER_STREAM_H

#include <event2/bufferevent.h>
#include <glib.h>

#include "protocol/frame.h"
#include "state/counters.h"

/* Result of looking for a frame in what has arrived. */
enum GbPeerReadResult {
    GB_PEER_READ_INCOMPLETE,
    GB_PEER_READ_FRAME,
    /* Counted; the connection is to be closed. */
    GB_PEER_READ_INVALID
};

/* Decodes the frame at the start of the input, if it is whole. The frame
 * points into the input buffer, which must be left alone while it is used. */
enum GbPeerReadResult GbPeerStream_Read(struct bufferevent *stream,
                                        const struct GbKeys *keys,
                                        uint32_t max_bytes,
                                        struct GbCounters *counters,
                                        struct GbFrame *frame);

/* Encodes a frame into memory of its own. */
GBytes *GbPeerStream_Encode(const struct GbKeys *keys,
                            const struct GbFrame *frame);

/* Queues an encoded frame, of which a reference is taken: several connections
 * can share one document of 1 MB. */
void GbPeerStream_Write(struct bufferevent *stream, GBytes *encoded);

#endif
