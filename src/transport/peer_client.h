#ifndef GB_TRANSPORT_PEER_CLIENT_H
#define GB_TRANSPORT_PEER_CLIENT_H

#include <event2/bufferevent.h>

#include "protocol/frame.h"
#include "state/counters.h"

struct GbPeerReplyHandler;

/* Is given the answer of another process. */
struct GbPeerReplyHandler {
    /* frame is NULL if there was no valid answer. It is valid during the
     * call only. */
    void (*done)(struct GbPeerReplyHandler *self, const struct GbFrame *frame);
};

/* Asks one other process at a time for a document. The time limit is the
 * caller's. */
struct GbPeerClient {
    struct event_base *base;
    const struct GbKeys *keys;
    struct GbCounters *counters;
    struct GbPeerReplyHandler *reply_handler;
    /* NULL while no call is in progress. */
    struct bufferevent *stream;
};

/* All pointers must outlive self. */
void GbPeerClient_Init(struct GbPeerClient *self, struct event_base *base,
                       const struct GbKeys *keys,
                       struct GbPeerReplyHandler *reply,
                       struct GbCounters *counters);

/* Asks for a document higher than the known one. Ends a call that is still in
 * progress. */
void GbPeerClient_Pull(struct GbPeerClient *self, const struct GbAddress *peer,
                       const struct GbDocumentHead *known);

/* Ends the call in progress, if any; no reply follows. */
void GbPeerClient_CancelPull(struct GbPeerClient *self);

#endif
