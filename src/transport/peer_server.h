#ifndef GB_TRANSPORT_PEER_SERVER_H
#define GB_TRANSPORT_PEER_SERVER_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "protocol/frame.h"
#include "state/counters.h"
#include "state/error_text.h"
#include "transport/status.h"

/* Connections served at once. */
#define GB_PEER_CONNECTIONS_MAX 32

struct GbPeerHandler;

/* Has the documents that other processes ask for. */
struct GbPeerHandler {
    /* Highest accepted document, or what brings a peer that has the known one
     * up to it; NULL if there is none. */
    struct GbDocument *(*highest)(struct GbPeerHandler *self,
                                  const struct GbDocumentHead *known);
};

/* Answers other processes over TCP: one frame each way, then the connection
 * is closed. */
struct GbPeerServer {
    struct event_base *base;
    struct evconnlistener *listener;
    struct GbPeerHandler *handler;
    const struct GbKeys *keys;
    struct GbCounters *counters;
    GHashTable *connections;
    /* Frame with the highest document, encoded once for all who ask. */
    GBytes *encoded;
    struct GbDocumentHead encoded_head;
};

/* Port 0 binds any free port. All pointers must outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM. */
enum GbTransportStatus
GbPeerServer_Open(struct GbPeerServer *self, const struct GbAddress *address,
                  struct event_base *base, struct GbPeerHandler *handler,
                  const struct GbKeys *keys, struct GbCounters *counters,
                  struct GbErrorText *last);

void GbPeerServer_Close(struct GbPeerServer *self);

/* Port that the server is bound to. */
uint16_t GbPeerServer_Port(const struct GbPeerServer *self);

#endif
