#ifndef GB_PROTOCOL_BALANCER_WIRE_H
#define GB_PROTOCOL_BALANCER_WIRE_H

#include "coordination/calls/balancer.h"
#include "protocol/datagram_port.h"
#include "protocol/keys.h"
#include "protocol/revision_listener.h"

/* Connects a balancer's decisions with encoded datagrams. */
struct GbBalancerWire {
    struct GbBalancer *balancer;
    const struct GbKeys *keys;
    struct GbDatagramPort *port;
    struct GbRevisionListener *listener;
    struct GbCounters *counters;
};

/* All arguments must outlive self. */
void GbBalancerWire_Init(struct GbBalancerWire *self,
                         struct GbBalancer *balancer,
                         const struct GbKeys *keys,
                         struct GbDatagramPort *port,
                         struct GbRevisionListener *listener,
                         struct GbCounters *counters);

/* Forwards one datagram of a caller or of an agent, or counts why not. */
void GbBalancerWire_Receive(struct GbBalancerWire *self,
                            const struct GbAddress *from, const uint8_t *data,
                            size_t size_bytes);

#endif
