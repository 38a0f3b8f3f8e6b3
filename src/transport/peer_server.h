#ifndef GB_TRANSPORT_PEER_SERVER_H
#define GB_TRANSPORT_PEER_SERVER_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "protocol/frame.h"
#include "state/counters.h"
#include "state/last_message.h"
#include "transport/status.h"

/* Connections served at once. */
#define GB_PEER_CONNECTIONS_MAX 32

struct GbPeerDocumentSource;

/* Has the documents that other processes ask for. */
struct GbPeerDocumentSource {
    /* Highest accepted document, or what brings a peer that has the known one
     * up to it; NULL if there is none. */
    struct GbDocument *(*find_document)(struct GbPeerDocumentSource *self,
                                        const struct GbDocumentHead *known);
};

/* Answers other processes over TCP: one frame each way, then the connection
 * is closed. */
struct GbPeerServer {
    struct event_base *base;
    struct evconnlistener *listener;
    struct GbPeerDocumentSource *source;
    const struct GbKeys *keys;
    struct GbCounters *counters;
    GHashTable *connections;
    /* Frame with the highest document, encoded once for all who ask. */
    GBytes *encoded_frame;
    struct GbDocumentHead encoded_head;
};

/* Port 0 binds any free port. All pointers must outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbPeerServer_Open(struct GbPeerServer *self,
                                         const struct GbAddress *address,
                                         struct event_base *base,
                                         struct GbPeerDocumentSource *handler,
                                         const struct GbKeys *keys,
                                         struct GbCounters *counters,
                                         struct GbLastMessage *error);

void GbPeerServer_Close(struct GbPeerServer *self);

/* Port that the server is bound to. */
uint16_t GbPeerServer_Port(const struct GbPeerServer *self);

#endif
