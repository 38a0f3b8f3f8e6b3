#ifndef GB_TRANSPORT_BALANCER_TASK_H
#define GB_TRANSPORT_BALANCER_TASK_H

#include "coordination/calls/balancer_port.h"
#include "protocol/balancer_wire.h"
#include "transport/data_task.h"

#define GB_BALANCER_TASKS_MAX 16

/* Data task of a balancer: one socket, shared port, no flow state. */
struct GbBalancerTask {
    struct GbDataTask super;
    struct GbBalancerPort balancer_port;
    struct GbBalancer balancer;
    struct GbBalancerWire wire;
    /* Other data tasks of the process. */
    struct GbBalancerTask *siblings[GB_BALANCER_TASKS_MAX];
    uint32_t sibling_count;
};

/* Prepares the task for GbTask_Open. keys must outlive it. */
void GbBalancerTask_Init(struct GbBalancerTask *self,
                         const struct GbDataTaskConfig *config,
                         const struct GbKeys *keys, struct GbClock *clock);

/* Makes two data tasks of a process tell each other of answers. To be called
 * once for each pair, before they start. Both must be ended before one of
 * them is stopped. */
void GbBalancerTask_ConnectPair(struct GbBalancerTask *a,
                                struct GbBalancerTask *b);

#endif
