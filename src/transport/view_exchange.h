#ifndef GB_TRANSPORT_VIEW_EXCHANGE_H
#define GB_TRANSPORT_VIEW_EXCHANGE_H

#include "coordination/flows/view_gossip.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"

/* Is told of what other processes send. */
struct GbViewExchangeListener {
    /* The keeper may have a new view. */
    void (*updated)(struct GbViewExchangeListener *self, uint32_t peer_ipv4);
};

/* Exchanges views between processes over TCP: answers those that are behind
 * with what they lack, and pulls from those that are ahead. */
struct GbViewExchange {
    struct GbPeerHandler handler;
    struct GbPeerReply reply;
    struct GbPeerServer server;
    struct GbPeerClient client;
    struct GbKeys keys;
    struct GbViewStore *keeper;
    struct GbViewGossip *spread;
    struct GbViewExchangeListener *listener;
    struct GbCounters *counters;
    struct event *timeout;
    /* Difference that was last asked for. */
    struct GbDocument *answer;
    uint32_t pulled_ipv4;
    uint16_t port;
};

/* Listens on address; other processes use the same port. All pointers must
 * outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM. */
enum GbTransportStatus
GbViewExchange_Open(struct GbViewExchange *self,
                    const struct GbAddress *address, struct event_base *base,
                    struct GbViewStore *keeper, struct GbViewGossip *spread,
                    struct GbViewExchangeListener *listener,
                    struct GbCounters *counters, struct GbLastMessage *last);

void GbViewExchange_Close(struct GbViewExchange *self);

/* Asks a process for what is newer. The spread is told when this has
 * ended. */
void GbViewExchange_Pull(struct GbViewExchange *self, uint32_t peer_ipv4);

#endif
