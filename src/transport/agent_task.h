#ifndef GB_TRANSPORT_AGENT_TASK_H
#define GB_TRANSPORT_AGENT_TASK_H

#include "protocol/agent_wire.h"
#include "transport/target_task.h"
#include "transport/task.h"
#include "transport/udp.h"

struct GbAgentTaskConfig {
    struct GbAddress listen;
    const struct GbKeys *keys;
    struct GbAgentConfig agent;
    /* Must outlive the task. */
    struct GbTask *control;
    struct GbTargetTask *target;
};

/* Data task of an agent: its socket, and the decisions about its flows,
 * slots and pool. */
struct GbAgentTask {
    struct GbTask super;
    struct GbUdpListener listener;
    struct GbRevisionListener revisions;
    struct GbTargetPort target_port;
    struct GbAgentTaskConfig config;
    struct GbCounters counters;
    struct GbSystemRandom random;
    struct GbAgent agent;
    struct GbAgentWire wire;
    struct GbUdp udp;
    int64_t report_us;
};

/* Prepares the task for GbTask_Open. */
void GbAgentTask_Init(struct GbAgentTask *self,
                      const struct GbAgentTaskConfig *config,
                      struct GbClock *clock);

#endif
