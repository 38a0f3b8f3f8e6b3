#ifndef GB_PROTOCOL_CALLER_ENDPOINT_H
#define GB_PROTOCOL_CALLER_ENDPOINT_H

#include "coordination/calls/caller.h"
#include "protocol/datagram_port.h"

#define GB_CALLER_BALANCERS_MAX 64

struct GbResultPort;

/* Interface that receives the results of calls. */
struct GbResultPortClass {
    /* Same contract as deliver of GbCallerPort. */
    void (*deliver)(struct GbResultPort *self, void *context,
                    const struct GbCallerResult *result);
};

struct GbResultPort {
    const struct GbResultPortClass *klass;
};

/* Protocol endpoint of a caller: encodes the messages that it sends, each to a
 * random balancer, and decodes those that it receives. */
struct GbCallerEndpoint {
    struct GbCallerPort super;
    struct GbCaller *caller;
    struct GbDatagramPort *port;
    struct GbResultPort *results;
    struct GbRandom *random;
    struct GbAddress balancers[GB_CALLER_BALANCERS_MAX];
    uint32_t balancer_count;
    /* Datagrams received that do not decode or are not meant for callers. */
    uint64_t malformed_count;
};

/* The program initialises caller afterwards, with &self->super as its port.
 * All arguments must outlive self. */
void GbCallerEndpoint_Init(struct GbCallerEndpoint *self,
                           struct GbCaller *caller,
                           struct GbDatagramPort *port,
                           struct GbResultPort *results,
                           struct GbRandom *random);

/* Returns false if GB_CALLER_BALANCERS_MAX balancers were added before. */
bool GbCallerEndpoint_AddBalancer(struct GbCallerEndpoint *self,
                                  const struct GbAddress *balancer);

/* Decodes a datagram from a balancer and passes the message to the caller. One
 * that is malformed or unexpected is only counted. */
void GbCallerEndpoint_Receive(struct GbCallerEndpoint *self,
                              const uint8_t *data, size_t size_bytes);

#endif
