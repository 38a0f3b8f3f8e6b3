#ifndef GB_TRANSPORT_VIEW_EXCHANGE_H
#define GB_TRANSPORT_VIEW_EXCHANGE_H

#include "coordination/flows/view_spread.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"

/* Is told of what other processes send. */
struct GbViewExchangeListener {
    /* The keeper may have a new view. */
    void (*view_updated)(struct GbViewExchangeListener *self,
                         uint32_t peer_ipv4);
};

/* Exchanges views between processes over TCP: answers those that are behind
 * with what they lack, and pulls from those that are ahead. */
struct GbViewExchange {
    struct GbPeerDocumentSource document_source;
    struct GbPeerReplyHandler pull_reply_handler;
    struct GbPeerServer peer_server;
    struct GbPeerClient peer_client;
    struct GbKeys keys;
    struct GbViewKeeper *keeper;
    struct GbViewSpread *spread;
    struct GbViewExchangeListener *listener;
    struct GbCounters *counters;
    struct event *pull_timeout;
    /* Difference that was last asked for. */
    struct GbDocument *delta;
    uint32_t pull_peer_ipv4;
    uint16_t port;
};

/* Listens on address; other processes use the same port. All pointers must
 * outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus
GbViewExchange_Open(struct GbViewExchange *self,
                    const struct GbAddress *address, struct event_base *base,
                    struct GbViewKeeper *keeper, struct GbViewSpread *spread,
                    struct GbViewExchangeListener *listener,
                    struct GbCounters *counters, struct GbLastMessage *error);

void GbViewExchange_Close(struct GbViewExchange *self);

/* Asks a process for what is newer. The spread is told when this has
 * ended. */
void GbViewExchange_Pull(struct GbViewExchange *self, uint32_t peer_ipv4);

#endif
