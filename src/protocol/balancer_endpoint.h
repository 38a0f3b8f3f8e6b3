#ifndef GB_PROTOCOL_BALANCER_ENDPOINT_H
#define GB_PROTOCOL_BALANCER_ENDPOINT_H

#include "coordination/calls/balancer.h"
#include "protocol/datagram_port.h"
#include "protocol/keys.h"
#include "protocol/revision_listener.h"

/* Protocol endpoint of a balancer: decodes the datagrams that it receives and
 * forwards them in or out of an envelope. */
struct GbBalancerEndpoint {
    struct GbBalancer *balancer;
    const struct GbKeys *keys;
    struct GbDatagramPort *port;
    struct GbRevisionListener *listener;
    struct GbCounters *counters;
};

/* All arguments must outlive self. */
void GbBalancerEndpoint_Init(struct GbBalancerEndpoint *self,
                             struct GbBalancer *balancer,
                             const struct GbKeys *keys,
                             struct GbDatagramPort *port,
                             struct GbRevisionListener *listener,
                             struct GbCounters *counters);

/* Forwards a datagram from a caller to an agent or from an agent to a caller.
 * A datagram that is refused is counted by its reason. */
void GbBalancerEndpoint_Receive(struct GbBalancerEndpoint *self,
                                const struct GbAddress *from,
                                const uint8_t *data, size_t size_bytes);

#endif
