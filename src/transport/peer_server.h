#ifndef GB_TRANSPORT_PEER_SERVER_H
#define GB_TRANSPORT_PEER_SERVER_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "protocol/frame.h"
#include "state/counters.h"
#include "state/error_text.h"
#include "transport/status.h"

/* Maximum number of concurrent connections. */
#define GB_PEER_CONNECTIONS_MAX 32

struct GbPeerDocumentSource;

/* Provides the documents that the server sends. */
struct GbPeerDocumentSource {
    /* Returns the newest accepted document, or a delta from the known one to
     * it; NULL if there is none. The source keeps ownership. */
    struct GbDocument *(*find_document)(struct GbPeerDocumentSource *self,
                                        const struct GbDocumentHead *known);
};

/* Serves documents to other processes over TCP. On each connection the peer
 * sends one request frame and receives one reply frame; the server then closes
 * it. */
struct GbPeerServer {
    struct event_base *base;
    struct evconnlistener *listener;
    struct GbPeerDocumentSource *source;
    const struct GbKeys *keys;
    struct GbCounters *counters;
    GHashTable *connections;
    /* Frame with the newest document, encoded once for all peers, and the head
     * of that document. */
    GBytes *encoded_frame;
    struct GbDocumentHead encoded_head;
};

/* Binds the address and starts to accept connections. Port 0 binds any free
 * port. All pointers must outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus
GbPeerServer_Open(struct GbPeerServer *self, const struct GbAddress *address,
                  struct event_base *base, struct GbPeerDocumentSource *source,
                  const struct GbKeys *keys, struct GbCounters *counters,
                  struct GbErrorText *error);

void GbPeerServer_Close(struct GbPeerServer *self);

/* Port that the server is bound to. */
uint16_t GbPeerServer_Port(const struct GbPeerServer *self);

#endif
