#ifndef GB_PROTOCOL_CALLER_WIRE_H
#define GB_PROTOCOL_CALLER_WIRE_H

#include "coordination/calls/caller.h"
#include "protocol/datagram_port.h"

#define GB_CALLER_BALANCERS_MAX 64

struct GbResultPort;

/* Where the outcomes of calls go. */
struct GbResultPortClass {
    /* As GbCallerPort's deliver. */
    void (*deliver)(struct GbResultPort *self, void *context,
                    const struct GbCallerResult *result);
};

struct GbResultPort {
    const struct GbResultPortClass *klass;
};

/* Connects a caller's decisions with encoded datagrams. Each datagram goes to
 * a random balancer. */
struct GbCallerWire {
    struct GbCallerPort super;
    struct GbCaller *caller;
    struct GbDatagramPort *port;
    struct GbResultPort *results;
    struct GbRandom *random;
    struct GbAddress balancers[GB_CALLER_BALANCERS_MAX];
    uint32_t balancer_count;
    uint64_t malformed;
};

/* caller is initialised afterwards with &self->super as its port. All
 * arguments must outlive self. */
void GbCallerWire_Init(struct GbCallerWire *self, struct GbCaller *caller,
                       struct GbDatagramPort *port,
                       struct GbResultPort *results, struct GbRandom *random);

/* Adds a balancer. Returns false when there are too many. */
bool GbCallerWire_AddBalancer(struct GbCallerWire *self,
                              const struct GbAddress *balancer);

/* Hands one datagram of a balancer to the decisions, or counts it. */
void GbCallerWire_Receive(struct GbCallerWire *self, const uint8_t *data,
                          size_t size_bytes);

#endif
