#ifndef GB_COORDINATION_FLOWS_FLOW_REFUSAL_H
#define GB_COORDINATION_FLOWS_FLOW_REFUSAL_H

#include "coordination/flows/flow_agent_state.h"

/* Resets the client of a new flow, which tells it that its request does not
 * run, and records the refusal where the client's retry will arrive. Does
 * nothing if the own target has replied to an earlier copy of the SYN packet,
 * because the client may have sent its request. */
void GbFlowRefusal_Refuse(struct GbFlowAgent *self,
                          const struct GbPendingFlow *pending, int64_t now_us);

#endif
