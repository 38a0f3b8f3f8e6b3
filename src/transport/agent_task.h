#ifndef GB_TRANSPORT_AGENT_TASK_H
#define GB_TRANSPORT_AGENT_TASK_H

#include "protocol/agent_endpoint.h"
#include "transport/data_task.h"
#include "transport/target_task.h"

struct GbAgentTaskConfig {
    struct GbDataTaskConfig data;
    struct GbAgentConfig agent;
    /* keys and target_task must outlive the task. */
    const struct GbKeys *keys;
    struct GbTargetTask *target_task;
};

/* Data task of an agent. It owns the UDP socket and GbAgent, which manages the
 * flows, slots and pool of the agent. */
struct GbAgentTask {
    struct GbDataTask super;
    struct GbTargetPort target_port;
    struct GbTargetTask *target_task;
    struct GbSystemRandom random;
    struct GbAgent agent;
    struct GbAgentEndpoint endpoint;
};

/* Prepares the task for GbTask_Open. */
void GbAgentTask_Init(struct GbAgentTask *self,
                      const struct GbAgentTaskConfig *config,
                      struct GbClock *clock);

#endif
