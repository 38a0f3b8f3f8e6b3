#ifndef GB_TRANSPORT_BALANCER_TASK_H
#define GB_TRANSPORT_BALANCER_TASK_H

#include "coordination/calls/balancer_port.h"
#include "protocol/balancer_endpoint.h"
#include "transport/data_task.h"

#define GB_BALANCER_TASKS_MAX 16

/* Data task of a balancer. It owns one socket on a port that all data tasks of
 * the process share, and keeps no state per flow. */
struct GbBalancerTask {
    struct GbDataTask super;
    struct GbBalancerPort balancer_port;
    struct GbBalancer balancer;
    struct GbBalancerEndpoint endpoint;
    /* The other data tasks of the process. */
    struct GbBalancerTask *siblings[GB_BALANCER_TASKS_MAX];
    uint32_t sibling_count;
};

/* Prepares the task for GbTask_Open. keys must outlive it. */
void GbBalancerTask_Init(struct GbBalancerTask *self,
                         const struct GbDataTaskConfig *config,
                         const struct GbKeys *keys, struct GbClock *clock);

/* Makes two data tasks of a process notify each other when an instance
 * responds. Call it once for each pair, before the tasks are started. The
 * threads of both must be stopped before either task is closed. */
void GbBalancerTask_ConnectPair(struct GbBalancerTask *a,
                                struct GbBalancerTask *b);

#endif
