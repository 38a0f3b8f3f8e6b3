#ifndef GB_PROTOCOL_AGENT_WIRE_H
#define GB_PROTOCOL_AGENT_WIRE_H

#include "coordination/calls/agent.h"
#include "protocol/datagram_port.h"
#include "protocol/keys.h"
#include "protocol/revision_listener.h"

struct GbTargetPort;

/* Where an agent's work goes: the target task, or a fake in scenarios. The
 * functions are those of GbAgentPort. */
struct GbTargetPortClass {
    void (*start)(struct GbTargetPort *self,
                  const struct GbTargetRequest *call);
    void (*cancel)(struct GbTargetPort *self, uint64_t work_id);
    void (*allow)(struct GbTargetPort *self, uint64_t work_id,
                  uint32_t size_bytes);
};

struct GbTargetPort {
    const struct GbTargetPortClass *klass;
};

/* Connects an agent's decisions with encoded datagrams. */
struct GbAgentWire {
    struct GbAgentPort super;
    struct GbAgent *agent;
    const struct GbKeys *keys;
    struct GbDatagramPort *port;
    struct GbTargetPort *target;
    struct GbRevisionListener *listener;
    struct GbCounters *counters;
};

/* agent is initialised afterwards with &self->super as its port. All
 * arguments must outlive self. */
void GbAgentWire_Init(struct GbAgentWire *self, struct GbAgent *agent,
                      const struct GbKeys *keys, struct GbDatagramPort *port,
                      struct GbTargetPort *target,
                      struct GbRevisionListener *listener,
                      struct GbCounters *counters);

/* Hands one datagram of a balancer or of another agent to the decisions, or
 * counts why not. */
void GbAgentWire_Receive(struct GbAgentWire *self,
                         const struct GbAddress *from, const uint8_t *data,
                         size_t size_bytes);

#endif
