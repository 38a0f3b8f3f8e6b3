#ifndef GB_TRANSPORT_BALANCER_TASK_H
#define GB_TRANSPORT_BALANCER_TASK_H

#include "protocol/balancer_wire.h"
#include "transport/task.h"
#include "transport/udp.h"

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
    struct GbBalancerTaskConfig config;
    struct GbCounters counters;
    struct GbBalancer balancer;
    struct GbBalancerWire wire;
    struct GbUdp udp;
    int64_t report_us;
};

/* Prepares the task for GbTask_Open. */
void GbBalancerTask_Init(struct GbBalancerTask *self,
                         const struct GbBalancerTaskConfig *config,
                         struct GbClock *clock);

#endif
