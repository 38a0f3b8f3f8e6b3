#ifndef GB_COORDINATION_FLOWS_FLOW_AGENT_H
#define GB_COORDINATION_FLOWS_FLOW_AGENT_H

#include "coordination/flows/flow_agent_state.h"

/* port, clock and counters must outlive self. */
void GbFlowAgent_Init(struct GbFlowAgent *self,
                      const struct GbFlowAgentConfig *config,
                      struct GbPacketPort *port, struct GbClock *clock,
                      struct GbCounters *counters);

void GbFlowAgent_Finish(struct GbFlowAgent *self);

/* Takes over the caller's reference of view. */
void GbFlowAgent_SetView(struct GbFlowAgent *self, struct GbRoutingView *view);

/* The process is being stopped: new flows go to other agents. */
void GbFlowAgent_Drain(struct GbFlowAgent *self);

/* Handles a client's packet from a balancer or another agent. */
void GbFlowAgent_ReceivePacket(struct GbFlowAgent *self, uint32_t from_ipv4,
                               struct GbPacket *packet);

/* Handles a packet from the target: its own, or a client's that it gave
 * back. */
void GbFlowAgent_ReceiveFromTarget(struct GbFlowAgent *self,
                                   struct GbPacket *packet);

void GbFlowAgent_ReceiveNotice(struct GbFlowAgent *self, uint32_t from_ipv4,
                               const struct GbFlowNotice *notice);

/* Tells the pool of a changed load. To be called after each round of
 * events. */
void GbFlowAgent_Flush(struct GbFlowAgent *self);

int64_t GbFlowAgent_NextTimerUs(const struct GbFlowAgent *self);

void GbFlowAgent_Tick(struct GbFlowAgent *self);

#endif
