#ifndef GB_COORDINATION_FLOWS_FLOW_LOCATION_H
#define GB_COORDINATION_FLOWS_FLOW_LOCATION_H

#include "coordination/flows/flow_agent_state.h"

/* Keeps a packet of a flow that the own target does not have, and queries the
 * agents of all backends of its route for its owner. Agents that cannot tell,
 * because they started after flows were opened at their targets, are probed:
 * they get the packet, and their target accepts or returns it. If all have
 * denied the flow, the client is reset. If some are silent, the lookup goes on
 * with the client's next packet. balancer_ipv4 is 0 if unknown.
 *
 * Then the agents of all other services are queried. They count as those of
 * the route's services, and are probed like these, until this process has seen
 * all routes for the greatest age of a flow: the owner may be an agent of a
 * former backend.
 *
 * Before the first view, the other agents are not known. The packet
 * is kept for the time after which the client repeats it; if no view arrives
 * meanwhile, it is dropped without a reset.
 *
 * Handles an outage of many or all processes, after which no agent knows which
 * flows its target still has and clients wait on flows that are lost. */
void GbFlowLocation_StartLookup(struct GbFlowAgent *self,
                                struct GbPacket *packet,
                                uint32_t balancer_ipv4);

/* Returns true if the owner of a flow is being looked up: the own target has
 * returned a packet of it. */
bool GbFlowLocation_IsLookedUp(struct GbFlowAgent *self,
                               const struct GbFlowKey *key);

/* Ends a lookup without a result, because the own target has the flow or a new
 * one with its key. */
void GbFlowLocation_CancelLookup(struct GbFlowAgent *self,
                                 const struct GbFlowKey *key);

/* Starts the lookups that were waiting for the first view. Call this when a
 * view has been set. */
void GbFlowLocation_ReceiveView(struct GbFlowAgent *self);

/* Handles another agent's reply to a query. */
void GbFlowLocation_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                                 const struct GbFlowNotice *notice);

/* Ends the lookups whose deadline has passed. */
void GbFlowLocation_Tick(struct GbFlowAgent *self, int64_t now_us);

#endif
