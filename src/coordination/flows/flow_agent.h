#ifndef GB_COORDINATION_FLOWS_FLOW_AGENT_H
#define GB_COORDINATION_FLOWS_FLOW_AGENT_H

#include "coordination/flows/flow_agent_state.h"

/* port, clock and counters must outlive self. */
void GbFlowAgent_Init(struct GbFlowAgent *self,
                      const struct GbFlowAgentConfig *config,
                      struct GbPacketPort *port, struct GbClock *clock,
                      struct GbCounters *counters);

void GbFlowAgent_Finish(struct GbFlowAgent *self);

/* Takes ownership of the caller's reference to view. */
void GbFlowAgent_SetView(struct GbFlowAgent *self, struct GbRoutingView *view);

/* Starts draining because the process is being stopped: new flows go to other
 * agents. */
void GbFlowAgent_Drain(struct GbFlowAgent *self);

/* Handles a client's packet that a balancer or another agent forwarded. */
void GbFlowAgent_ReceivePacket(struct GbFlowAgent *self, uint32_t from_ipv4,
                               struct GbPacket *packet);

/* Handles a packet from the target: one that it sent to a client, or a
 * client's packet that it returned. */
void GbFlowAgent_ReceiveFromTarget(struct GbFlowAgent *self,
                                   struct GbPacket *packet);

/* Handles a notice of another agent. */
void GbFlowAgent_ReceiveNotice(struct GbFlowAgent *self, uint32_t from_ipv4,
                               const struct GbFlowNotice *notice);

/* Serves the queue and reports a changed load to the pool. Call this after
 * each iteration of the event loop. */
void GbFlowAgent_Flush(struct GbFlowAgent *self);

int64_t GbFlowAgent_NextTimerUs(const struct GbFlowAgent *self);

void GbFlowAgent_Tick(struct GbFlowAgent *self);

#endif
