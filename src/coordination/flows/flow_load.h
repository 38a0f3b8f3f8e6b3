#ifndef GB_COORDINATION_FLOWS_FLOW_LOAD_H
#define GB_COORDINATION_FLOWS_FLOW_LOAD_H

#include "coordination/flows/flow_agent_state.h"

/* Counts a flow as in flight, or no longer. */
void GbFlowLoad_AddInFlight(struct GbFlowAgent *self,
                            struct GbPacketFlow *flow, int64_t now_us);
void GbFlowLoad_RemoveInFlight(struct GbFlowAgent *self,
                               struct GbPacketFlow *flow);

/* The target has sent data of a flow: the first data after a request ends its
 * work as far as slots are concerned. */
void GbFlowLoad_RecordResponse(struct GbFlowAgent *self,
                               struct GbPacketFlow *flow, int64_t now_us);

/* The target has broken off a request, or does not answer it. */
void GbFlowLoad_RecordFailure(struct GbFlowAgent *self,
                              struct GbPacketFlow *flow, int64_t now_us);

/* Removes a flow and what it counts for. */
void GbFlowLoad_RemoveFlow(struct GbFlowAgent *self,
                           struct GbPacketFlow *flow);

/* Slots of the own target. */
uint32_t GbFlowLoad_OwnSlots(const struct GbFlowAgent *self);

/* Whether the own target should get new flows. */
bool GbFlowLoad_IsOwnUsable(const struct GbFlowAgent *self, int64_t now_us);

/* Stops counting flows that no client has followed, or whose answer has
 * taken too long, and forgets flows without packets. */
void GbFlowLoad_ExpireFlows(struct GbFlowAgent *self, int64_t now_us);

/* Sends the load to the pool if it has changed or a report is due. */
void GbFlowLoad_ReportToPool(struct GbFlowAgent *self, int64_t now_us,
                             bool is_due);

/* Sends the load to the balancers that have sent packets lately. */
void GbFlowLoad_ReportToBalancers(struct GbFlowAgent *self, int64_t now_us);

/* Remembers a balancer as one that sends packets here. */
void GbFlowLoad_RecordBalancer(struct GbFlowAgent *self, uint32_t ipv4,
                               int64_t now_us);

#endif
