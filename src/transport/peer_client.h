#ifndef GB_TRANSPORT_PEER_CLIENT_H
#define GB_TRANSPORT_PEER_CLIENT_H

#include <event2/bufferevent.h>

#include "protocol/frame.h"
#include "state/counters.h"

struct GbPeerReplyHandler;

/* Receives the reply to a pull. */
struct GbPeerReplyHandler {
    /* frame is NULL if there was no valid reply. It is valid only during the
     * call. */
    void (*completed)(struct GbPeerReplyHandler *self,
                      const struct GbFrame *frame);
};

/* Pulls documents from other processes, one at a time. It has no timeout of
 * its own: the calling code must cancel a pull that takes too long. */
struct GbPeerClient {
    struct event_base *base;
    const struct GbKeys *keys;
    struct GbCounters *counters;
    struct GbPeerReplyHandler *reply_handler;
    /* NULL while no pull is in progress. */
    struct bufferevent *stream;
};

/* All pointers must outlive self. */
void GbPeerClient_Init(struct GbPeerClient *self, struct event_base *base,
                       const struct GbKeys *keys,
                       struct GbPeerReplyHandler *reply_handler,
                       struct GbCounters *counters);

/* Requests a document that is newer than the known one. Cancels a pull that is
 * still in progress. */
void GbPeerClient_Pull(struct GbPeerClient *self, const struct GbAddress *peer,
                       const struct GbDocumentHead *known);

/* Cancels the pull in progress, if any; the reply handler is not called. */
void GbPeerClient_CancelPull(struct GbPeerClient *self);

#endif
