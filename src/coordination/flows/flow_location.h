#ifndef GB_COORDINATION_FLOWS_FLOW_LOCATION_H
#define GB_COORDINATION_FLOWS_FLOW_LOCATION_H

#include "coordination/flows/flow_agent_state.h"

/* Holds a packet whose flow the own target does not have, and asks the pool
 * who has it. balancer_ipv4 is 0 if it is not known. */
void GbFlowLocation_StartLookup(struct GbFlowAgent *self,
                                struct GbPacket *packet,
                                uint32_t balancer_ipv4);

/* Answers another agent that asks for a flow. */
void GbFlowLocation_AnswerQuery(struct GbFlowAgent *self, uint32_t from_ipv4,
                                const struct GbFlowNotice *notice);

/* Handles the answer of another agent. */
void GbFlowLocation_ReceiveAnswer(struct GbFlowAgent *self, uint32_t from_ipv4,
                                  const struct GbFlowNotice *notice);

/* Ends the lookups whose time is over. */
void GbFlowLocation_Tick(struct GbFlowAgent *self, int64_t now_us);

#endif
