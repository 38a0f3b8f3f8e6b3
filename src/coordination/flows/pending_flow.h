#ifndef GB_COORDINATION_FLOWS_PENDING_FLOW_H
#define GB_COORDINATION_FLOWS_PENDING_FLOW_H

#include "coordination/flows/flow_agent_state.h"

/* A client abandons a connection attempt this long after its first SYN
 * packet. */
#define GB_SYN_TIMEOUT_US INT64_C(1400000)

/* Fills in the times and the priority of a flow whose SYN packet the agent
 * received at now_us, by the route in force. from_ipv4 is the process that
 * sent the packet. A retry of a refused request is matched with its refusal,
 * which counts once. */
void GbPendingFlow_Init(struct GbPendingFlow *self, struct GbFlowAgent *agent,
                        const struct GbPacket *packet, uint32_t from_ipv4,
                        int64_t now_us);

/* Returns the time from at_us to now_us, as notices and packets carry it. */
uint16_t GbPendingFlow_ElapsedMs(int64_t at_us, int64_t now_us);

#endif
