#ifndef GB_COORDINATION_FLOWS_FLOW_ADMISSION_H
#define GB_COORDINATION_FLOWS_FLOW_ADMISSION_H

#include "coordination/flows/flow_agent_state.h"

/* Handles the first copy of an opening packet: gives it to the own target or
 * to the member where it is served earliest, or resets the client if all are
 * so loaded that their targets would refuse it. from_ipv4 is the process that
 * sent the packet. */
void GbFlowAdmission_ReceiveSyn(struct GbFlowAgent *self,
                                struct GbPacket *packet, uint32_t from_ipv4);

/* Handles a further copy of an opening packet: it goes where the first one
 * went, unless that agent or target is silent. */
void GbFlowAdmission_ReceiveRetransmission(struct GbFlowAgent *self,
                                           struct GbPacket *packet,
                                           struct GbPacketFlow *flow,
                                           uint32_t from_ipv4);

/* Handles an opening packet that the own target gave back. */
void GbFlowAdmission_ReceiveReturnedSyn(struct GbFlowAgent *self,
                                        struct GbPacket *packet);

/* Another agent has refused an opening that was passed on to it: remembers it,
 * so that the client's retry is known as such. */
void GbFlowAdmission_RecordRemoteRefusal(struct GbFlowAgent *self,
                                         uint32_t from_ipv4,
                                         const struct GbFlowNotice *notice);

/* Gives waiting openings to targets that have room, best first, and resets the
 * clients of those that could not be answered in time. */
void GbFlowAdmission_ServeQueue(struct GbFlowAgent *self);

/* Passes a packet on to the agent that has its flow, and tells the balancer
 * so. */
void GbFlowAdmission_ForwardToAgent(struct GbFlowAgent *self,
                                    struct GbPacket *packet,
                                    uint32_t owner_ipv4,
                                    uint32_t balancer_ipv4);

#endif
