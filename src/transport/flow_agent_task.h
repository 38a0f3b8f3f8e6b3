#ifndef GB_TRANSPORT_FLOW_AGENT_TASK_H
#define GB_TRANSPORT_FLOW_AGENT_TASK_H

#include "coordination/flows/flow_agent.h"
#include "transport/packet_task.h"

struct GbFlowAgentTaskConfig {
    struct GbPacketTaskConfig super;
    struct GbFlowAgentConfig agent;
    /* Takes the target's packets. */
    struct GbAddress outbound;
    /* Takes packets for the target. */
    struct GbAddress target;
};

/* Packet task of the agent beside a target. */
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
