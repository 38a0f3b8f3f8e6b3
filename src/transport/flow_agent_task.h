#ifndef GB_TRANSPORT_FLOW_AGENT_TASK_H
#define GB_TRANSPORT_FLOW_AGENT_TASK_H

#include "coordination/flows/flow_agent.h"
#include "transport/packet_task.h"

struct GbFlowAgentTaskConfig {
    struct GbPacketTaskConfig super;
    struct GbFlowAgentConfig agent;
    /* Local address that receives packets from the target. */
    struct GbAddress outbound;
    /* Address of the target, to which packets are sent. */
    struct GbAddress target;
};

/* Packet task of an agent, which runs beside a target. */
struct GbFlowAgentTask {
    struct GbPacketTask super;
    struct GbFlowAgent agent;
    struct GbAddress outbound_address;
    struct GbAddress target_address;
    struct GbUdpListener outbound_listener;
    struct GbUdp outbound;
};

void GbFlowAgentTask_Init(struct GbFlowAgentTask *self,
                          const struct GbFlowAgentTaskConfig *config,
                          struct GbClock *clock);

#endif
