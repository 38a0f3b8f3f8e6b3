#ifndef GB_COORDINATION_FLOWS_FLOW_RETURNS_H
#define GB_COORDINATION_FLOWS_FLOW_RETURNS_H

#include "coordination/flows/flow_agent_state.h"

/* Handles a client's packet that the own target returned because it does not
 * accept it. A SYN packet is placed elsewhere; for any other packet, the owner
 * of the flow is looked up. */
void GbFlowReturns_Receive(struct GbFlowAgent *self, struct GbPacket *packet);

#endif
