#ifndef GB_COORDINATION_FLOWS_FLOW_ADMISSION_H
#define GB_COORDINATION_FLOWS_FLOW_ADMISSION_H

#include "coordination/flows/flow_agent_state.h"

/* Updates the limits of the own target from the current view. */
void GbFlowAdmission_ReceiveView(struct GbFlowAgent *self);

/* Handles the first SYN packet of a flow: delivers it to the own target,
 * forwards it to the agent where it is served earliest, queues it, or resets
 * the client if it could not be served in time. from_ipv4 is the address of
 * the process that sent the packet. */
void GbFlowAdmission_ReceiveSyn(struct GbFlowAgent *self,
                                struct GbPacket *packet, uint32_t from_ipv4);

/* Handles a retransmitted SYN packet: it goes where the first one went, unless
 * that agent or target does not respond. */
void GbFlowAdmission_ReceiveRetransmission(struct GbFlowAgent *self,
                                           struct GbPacket *packet,
                                           struct GbPacketFlow *flow,
                                           uint32_t from_ipv4);

/* Handles a SYN packet that the own target returned. */
void GbFlowAdmission_ReceiveReturnedSyn(struct GbFlowAgent *self,
                                        struct GbPacket *packet);

/* Handles a notice that another agent refused a SYN packet that was forwarded
 * to it. Records the refusal, so that the client's retry is recognised. */
void GbFlowAdmission_RecordRemoteRefusal(struct GbFlowAgent *self,
                                         uint32_t from_ipv4,
                                         const struct GbFlowNotice *notice);

/* Places queued flows at targets with free capacity, in the order of the
 * queue, and resets the clients of those that cannot be served in time. */
void GbFlowAdmission_ServeQueue(struct GbFlowAgent *self);

/* Returns the time at which a queued flow may be placed because the warm-up
 * allowance has recovered; GB_TIMER_NEVER if none waits for that. */
int64_t GbFlowAdmission_NextTimerUs(const struct GbFlowAgent *self);

/* Forwards a packet to the agent that owns its flow, and notifies the balancer
 * of the owner unless balancer_ipv4 is 0. Drops a packet that was forwarded
 * GB_FLOW_HOPS_MAX times. */
void GbFlowAdmission_ForwardToAgent(struct GbFlowAgent *self,
                                    struct GbPacket *packet,
                                    uint32_t owner_ipv4,
                                    uint32_t balancer_ipv4);

#endif
