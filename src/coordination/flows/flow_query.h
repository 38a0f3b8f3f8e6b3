#ifndef GB_COORDINATION_FLOWS_FLOW_QUERY_H
#define GB_COORDINATION_FLOWS_FLOW_QUERY_H

#include "coordination/flows/flow_agent_state.h"

/* Replies to another agent's query for the owner of a flow. */
void GbFlowQuery_Reply(struct GbFlowAgent *self, uint32_t from_ipv4,
                       const struct GbFlowNotice *notice);

/* Handles a probe from another agent. flow is the one in the own table, or
 * NULL. */
void GbFlowQuery_ReceiveProbe(struct GbFlowAgent *self, uint32_t from_ipv4,
                              struct GbPacket *packet,
                              const struct GbPacketFlow *flow);

/* Tells the sender of a probe that the own target has returned it. */
void GbFlowQuery_ReportReturnedProbe(struct GbFlowAgent *self,
                                     const struct GbPacket *packet);

/* Tells the sender of a probe, if there is one, that the own target has the
 * flow. */
void GbFlowQuery_ReportAdoptedFlow(struct GbFlowAgent *self,
                                   const struct GbFlowKey *key);

#endif
