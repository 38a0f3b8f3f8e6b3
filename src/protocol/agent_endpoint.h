#ifndef GB_PROTOCOL_AGENT_ENDPOINT_H
#define GB_PROTOCOL_AGENT_ENDPOINT_H

#include "coordination/calls/agent.h"
#include "protocol/datagram_port.h"
#include "protocol/keys.h"
#include "protocol/revision_listener.h"

struct GbTargetPort;

/* Interface to the target, implemented by the target task and by a fake in
 * scenarios. The functions are those of GbAgentPort. */
struct GbTargetPortClass {
    void (*start)(struct GbTargetPort *self,
                  const struct GbTargetRequest *request);
    void (*cancel)(struct GbTargetPort *self, uint64_t work_id);
    void (*extend_window)(struct GbTargetPort *self, uint64_t work_id,
                          uint32_t size_bytes);
};

struct GbTargetPort {
    const struct GbTargetPortClass *klass;
};

/* Protocol endpoint of an agent: decodes the datagrams that it receives and
 * encodes those that it sends. */
struct GbAgentEndpoint {
    struct GbAgentPort super;
    struct GbAgent *agent;
    const struct GbKeys *keys;
    struct GbDatagramPort *port;
    struct GbTargetPort *target;
    struct GbRevisionListener *listener;
    struct GbCounters *counters;
};

/* The program initialises agent afterwards, with &self->super as its port. All
 * arguments must outlive self. */
void GbAgentEndpoint_Init(struct GbAgentEndpoint *self, struct GbAgent *agent,
                          const struct GbKeys *keys,
                          struct GbDatagramPort *port,
                          struct GbTargetPort *target,
                          struct GbRevisionListener *listener,
                          struct GbCounters *counters);

/* Decodes a datagram from a balancer or another agent and passes the message
 * to the agent. A datagram that is refused is counted by its reason. */
void GbAgentEndpoint_Receive(struct GbAgentEndpoint *self,
                             const struct GbAddress *from, const uint8_t *data,
                             size_t size_bytes);

#endif
