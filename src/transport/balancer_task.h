#ifndef GB_TRANSPORT_BALANCER_TASK_H
#define GB_TRANSPORT_BALANCER_TASK_H

#include "coordination/balancer_port.h"
#include "protocol/balancer_wire.h"
#include "transport/task.h"
#include "transport/udp.h"

#define GB_BALANCER_TASKS_MAX 16

struct GbBalancerTaskConfig {
    struct GbAddress listen;
    const struct GbKeys *keys;
    uint32_t index;
    /* Is sent counters and revisions; must outlive the task. */
    struct GbTask *control;
};

/* Data task of a balancer: one socket, shared port, no flow state. */
struct GbBalancerTask {
    struct GbTask super;
    struct GbUdpListener listener;
    struct GbRevisionListener revisions;
    struct GbBalancerPort answers;
    struct GbBalancerTaskConfig config;
    struct GbCounters counters;
    struct GbBalancer balancer;
    struct GbBalancerWire wire;
    struct GbUdp udp;
    int64_t report_us;
    /* Other data tasks of the process. */
    struct GbTask *others[GB_BALANCER_TASKS_MAX];
    uint32_t other_count;
};

/* Prepares the task for GbTask_Open. */
void GbBalancerTask_Init(struct GbBalancerTask *self,
                         const struct GbBalancerTaskConfig *config,
                         struct GbClock *clock);

/* Makes two data tasks of a process tell each other of answers. To be called
 * once for each pair, before they start. Both must be ended before one of
 * them is stopped. */
void GbBalancerTask_Connect(struct GbBalancerTask *a,
                            struct GbBalancerTask *b);

#endif
