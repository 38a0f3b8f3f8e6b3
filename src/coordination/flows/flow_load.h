#ifndef GB_COORDINATION_FLOWS_FLOW_LOAD_H
#define GB_COORDINATION_FLOWS_FLOW_LOAD_H

#include "coordination/flows/flow_agent_state.h"

/* Counts a flow as in flight, unless it already is, and sets the time of its
 * request to now_us. */
void GbFlowLoad_AddInFlight(struct GbFlowAgent *self,
                            struct GbPacketFlow *flow, int64_t now_us);

/* Stops counting a flow as in flight, if it is. */
void GbFlowLoad_RemoveInFlight(struct GbFlowAgent *self,
                               struct GbPacketFlow *flow);

/* Records which request of an adopted flow the target responds to with this
 * packet, so that copies of it are recognised. */
void GbFlowLoad_RecordUnseenRequest(struct GbPacketFlow *flow,
                                    const struct GbPacket *packet);

/* Records that the target sent data of a flow. The first data after a request
 * frees its slot. */
void GbFlowLoad_RecordResponse(struct GbFlowAgent *self,
                               struct GbPacketFlow *flow, int64_t now_us);

/* Records that the target aborted a request or did not respond in time. */
void GbFlowLoad_RecordFailure(struct GbFlowAgent *self,
                              struct GbPacketFlow *flow, int64_t now_us);

/* Records that the target returned the SYN packet of a flow. */
void GbFlowLoad_RecordReturnedSyn(struct GbFlowAgent *self,
                                  const struct GbFlowKey *key, int64_t now_us);

/* Takes over the own entry of a new view, which tells whether the target has
 * restarted. */
void GbFlowLoad_UpdateTarget(struct GbFlowAgent *self);

/* Removes a flow from those in flight and from the table. */
void GbFlowLoad_RemoveFlow(struct GbFlowAgent *self,
                           struct GbPacketFlow *flow);

/* Returns the number of slots of the own target, at least 1. */
uint32_t GbFlowLoad_OwnSlots(const struct GbFlowAgent *self);

/* Returns true if new flows may go to the own target. */
bool GbFlowLoad_IsOwnUsable(const struct GbFlowAgent *self, int64_t now_us);

/* Removes idle flows. Flows whose handshake or response takes too long no
 * longer count as in flight, and overdue responses are recorded as failures.
 */
void GbFlowLoad_ExpireFlows(struct GbFlowAgent *self, int64_t now_us);

/* Sends the load to the pool if it has changed or if is_due. */
void GbFlowLoad_ReportToPool(struct GbFlowAgent *self, int64_t now_us,
                             bool is_due);

/* Sends the load to the balancers that recently sent packets here. */
void GbFlowLoad_ReportToBalancers(struct GbFlowAgent *self, int64_t now_us);

/* Records that a balancer sent a packet at now_us, which makes it receive
 * load reports. */
void GbFlowLoad_RecordBalancer(struct GbFlowAgent *self, uint32_t ipv4,
                               int64_t now_us);

#endif
