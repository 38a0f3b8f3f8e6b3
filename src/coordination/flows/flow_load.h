#ifndef GB_COORDINATION_FLOWS_FLOW_LOAD_H
#define GB_COORDINATION_FLOWS_FLOW_LOAD_H

#include "coordination/flows/flow_agent_state.h"

/* Counts a flow as in flight, or no longer. */
void GbFlowLoad_Begin(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                      int64_t now_us);
void GbFlowLoad_End(struct GbFlowAgent *self, struct GbPacketFlow *flow);

/* The target has sent data of a flow: the first data after a request ends its
 * work as far as slots are concerned. */
void GbFlowLoad_Answered(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                         int64_t now_us);

/* The target has broken off a request, or does not answer it. */
void GbFlowLoad_Failed(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                       int64_t now_us);

/* Removes a flow and what it counts for. */
void GbFlowLoad_Remove(struct GbFlowAgent *self, struct GbPacketFlow *flow);

/* Slots of the own target. */
uint32_t GbFlowLoad_Slots(const struct GbFlowAgent *self);

/* Whether the own target should get new flows. */
bool GbFlowLoad_IsOwnUsable(const struct GbFlowAgent *self, int64_t now_us);

/* Stops counting flows that no client has followed, or whose answer has
 * taken too long, and forgets flows without packets. */
void GbFlowLoad_Expire(struct GbFlowAgent *self, int64_t now_us);

/* Sends the load to the pool if it has changed or a report is due. */
void GbFlowLoad_TellPool(struct GbFlowAgent *self, int64_t now_us,
                         bool is_due);

/* Sends the load to the balancers that have sent packets lately. */
void GbFlowLoad_TellBalancers(struct GbFlowAgent *self, int64_t now_us);

/* Remembers a balancer as one that sends packets here. */
void GbFlowLoad_SeenBalancer(struct GbFlowAgent *self, uint32_t ipv4,
                             int64_t now_us);

#endif
