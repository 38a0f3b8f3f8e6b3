#ifndef GB_TRANSPORT_VIEW_EXCHANGE_H
#define GB_TRANSPORT_VIEW_EXCHANGE_H

#include "coordination/flows/view_gossip.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"

/* Is notified of views received from other processes. */
struct GbViewExchangeListener {
    /* A delta from this peer was applied; the view store may have a new
     * view. */
    void (*view_updated)(struct GbViewExchangeListener *self,
                         uint32_t peer_ipv4);
};

/* Exchanges views between processes over TCP: sends deltas to peers that have
 * an older version, and pulls deltas from peers that have a newer one. */
struct GbViewExchange {
    struct GbPeerDocumentSource document_source;
    struct GbPeerReplyHandler pull_reply_handler;
    struct GbPeerServer peer_server;
    struct GbPeerClient peer_client;
    struct GbKeys keys;
    struct GbViewStore *view_store;
    struct GbViewGossip *gossip;
    struct GbViewExchangeListener *listener;
    struct GbCounters *counters;
    struct event *pull_timeout;
    /* Delta encoded for the latest request of a peer; owned. */
    struct GbDocument *delta;
    uint32_t pull_peer_ipv4;
    uint16_t port;
};

/* Listens on address. All processes use the same port. All pointers must
 * outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbViewExchange_Open(
    struct GbViewExchange *self, const struct GbAddress *address,
    struct event_base *base, struct GbViewStore *view_store,
    struct GbViewGossip *gossip, struct GbViewExchangeListener *listener,
    struct GbCounters *counters, struct GbErrorText *error);

void GbViewExchange_Close(struct GbViewExchange *self);

/* Pulls a delta from a process that has a newer version. When the pull has
 * ended, also by timeout, GbViewGossip_FinishPull is called. */
void GbViewExchange_Pull(struct GbViewExchange *self, uint32_t peer_ipv4);

#endif
