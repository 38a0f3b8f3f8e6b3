#ifndef GB_COORDINATION_FLOWS_FLOW_LOCATION_H
#define GB_COORDINATION_FLOWS_FLOW_LOCATION_H

#include "coordination/flows/flow_agent_state.h"

/* Keeps a packet of a flow that the own target does not have, and queries the
 * agents of the service for its owner. balancer_ipv4 is 0 if unknown. */
void GbFlowLocation_StartLookup(struct GbFlowAgent *self,
                                struct GbPacket *packet,
                                uint32_t balancer_ipv4);

/* Replies to another agent's query for the owner of a flow. */
void GbFlowLocation_ReplyToQuery(struct GbFlowAgent *self, uint32_t from_ipv4,
                                 const struct GbFlowNotice *notice);

/* Handles another agent's reply to a query. */
void GbFlowLocation_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                                 const struct GbFlowNotice *notice);

/* Ends the lookups whose deadline has passed. */
void GbFlowLocation_Tick(struct GbFlowAgent *self, int64_t now_us);

#endif
